// The simulated entries' handling of requests, and of delegated ones.
#include <greengagedrum/entry/fleet_test/connection_skew_fleet.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;
using dispatch::member_request_table;

constexpr std::uint32_t attempts_most = 3;

} // namespace

base::upstream_class_id service_name(std::size_t number)
{
    return base::upstream_class_id("service-" + std::to_string(number));
}

virtual_fleet::hooks connection_skew_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) {
        if (one.state.scheduler.in_flight() == 0)
            return;
        traffic::actions actions;
        one.state.scheduler.tick(this->fleet.time(), actions);
        this->execute(one, actions);
    };
    out.before_stop = [this](node& one) {
        for (std::vector<run>& all : this->running)
            std::erase_if(
                all, [&](const run& each) { return each.entry == one.number; });
    };
    return out;
}

routing::published_upstream
connection_skew_fleet::published(std::size_t number) const
{
    routing::published_upstream out;
    out.name = "upstream-" + std::to_string(number);
    out.id = base::upstream_id(out.name);
    out.service =
        service_name(number / this->plan.data_centres % this->plan.services);
    out.slots = slots_of_upstream;
    out.data_centre =
        "centre-" + std::to_string(number % this->plan.data_centres);
    return out;
}

void connection_skew_fleet::configure(node& one)
{
    process_state& process = this->processes[one.number];
    process = process_state();
    process.process_id = this->next_process++;
    traffic::entry_identity identity;
    identity.data_centre =
        "centre-" + std::to_string(one.number % this->plan.data_centres);
    identity.salt = one.number + 1;
    for (std::size_t each = 0;
         this->plan.regions > 1 && each < this->plan.data_centres;
         ++each)
        identity.regions["centre-" + std::to_string(each)] =
            "region-" + std::to_string(each % this->plan.regions);
    one.state.scheduler = traffic::scheduler({0.2, 60, 10s}, identity);
    for (std::size_t each = 0; each < this->plan.upstreams; ++each)
        one.state.scheduler.upstream_joined(this->published(each),
                                            this->fleet.time());
}

peer_events connection_skew_fleet::events_of(node& one)
{
    const auto member_requests = [this, &one]() -> member_request_table& {
        return this->processes[one.number].members;
    };
    peer_events out;
    out.peer_load_changed = [this, &one] {
        traffic::actions actions;
        one.state.scheduler.dispatch_queued(this->fleet.time(), actions);
        this->execute(one, actions);
    };
    out.items_received = [](const gossip::item_transfer&) {};
    out.delegation_started = [this, &one, member_requests] {
        one.state.delegating = true;
        one.state.scheduler.set_delegating(true);
        this->apply(one, member_requests().remove_all_members());
    };
    out.delegation_ended = [&one](std::size_t, const limit_handover*) {
        one.state.delegating = false;
        one.state.scheduler.set_delegating(false);
    };
    out.make_report = [this, &one] { return this->make_report(one); };
    out.reply_received = [this, &one](const dispatch::dispatcher_reply& reply) {
        this->on_reply(one, reply);
    };
    out.report_received = [this, &one](base::slot_id member,
                                       const gossip::message& received) {
        this->on_report(one, member, received);
    };
    out.member_lost = [this, &one, member_requests](base::slot_id member) {
        this->apply(one, member_requests().remove_member(member));
    };
    out.members_awaiting_reply = [this, member_requests] {
        return member_requests().members_to_answer(this->fleet.time());
    };
    out.make_reply = [this, member_requests](base::slot_id member) {
        return member_requests().build_reply(member, this->fleet.time());
    };
    return out;
}

connection_skew_fleet::caller_key
connection_skew_fleet::key_of(const node& at, base::request_id request) const
{
    return {this->processes[at.number].process_id, request};
}

dispatch::member_report connection_skew_fleet::make_report(node& member)
{
    dispatch::member_report out;
    const traffic::scheduler& scheduler = member.state.scheduler;
    for (traffic::queued_send& one : scheduler.queued_sends(this->fleet.time()))
        out.slot_requests.push_back({{one.request, one.send},
                                     one.facts,
                                     std::move(one.tried),
                                     0,
                                     true});
    for (const traffic::active_send& one : scheduler.active_sends()) {
        if (!member_request_table::is_member_request(one.request))
            out.running.push_back({{one.request, one.send},
                                   one.upstream,
                                   one.pending_prefill_tokens});
    }
    out.status_updates =
        this->processes[member.number].statuses.unacknowledged();
    return out;
}

void connection_skew_fleet::on_report(node& at,
                                      base::slot_id member,
                                      const gossip::message& received)
{
    const dispatch::request_changes changes =
        this->processes[at.number].members.on_report(member,
                                                     received.incarnation,
                                                     received.report,
                                                     received.upstream_loads);
    at.state.scheduler.on_peer_report(
        member, changes.loads_dispatched_elsewhere, {}, this->fleet.time());
    this->apply(at, changes);
}

void connection_skew_fleet::apply(node& at,
                                  const dispatch::request_changes& changes)
{
    for (const traffic::event& one : changes.events)
        this->submit_event(at, one);
    for (const auto& [id, wanted] : changes.new_requests) {
        traffic::request_facts facts = wanted.facts;
        facts.sender = this->processes[at.number].members.member_of(id);
        this->submit_event(
            at, traffic::request_arrived{id, facts, wanted.tried_upstreams});
    }
}

void connection_skew_fleet::on_reply(node& member,
                                     const dispatch::dispatcher_reply& reply)
{
    this->processes[member.number].statuses.acknowledge(reply.acked_status);
    for (const dispatch::slot_grant& one : reply.grants)
        this->submit_event(member,
                           traffic::slot_granted{one.id.request,
                                                 one.id.send,
                                                 one.upstream,
                                                 one.expected_first_event,
                                                 one.slots_taken,
                                                 one.slots});
    for (const dispatch::slot_denial& one : reply.denials)
        this->submit_event(
            member,
            traffic::slot_denied{one.id.request,
                                 one.id.send,
                                 base::not_run(one.reason, one.retry_after)});
}

void connection_skew_fleet::submit_event(node& at, const traffic::event& event)
{
    if (at.state.delegating)
        this->processes[at.number].statuses.record(event);
    traffic::actions actions;
    at.state.scheduler.step(event, this->fleet.time(), actions);
    this->execute(at, actions);
}

// As in request_handler: a request asks for a slot, or no longer does, without
// an action.
void connection_skew_fleet::execute(node& at, const traffic::actions& actions)
{
    for (const traffic::action& each : actions)
        std::visit([&](const auto& one) { this->execute_action(at, one); },
                   each);
    const std::size_t waiting = at.state.scheduler.waiting();
    const std::size_t before =
        std::exchange(this->processes[at.number].waiting_before, waiting);
    if (!actions.empty() || (at.state.delegating && waiting != before))
        at.protocol->schedule_gossip();
}

void connection_skew_fleet::execute_action(node& at,
                                           const traffic::send_request& action)
{
    process_state& process = this->processes[at.number];
    if (member_request_table::is_member_request(action.request)) {
        process.members.on_granted(action);
        return;
    }
    run started;
    started.entry = at.number;
    started.process_id = process.process_id;
    started.request = action.request;
    started.send = action.send;
    const std::size_t number = this->upstream_numbers.at(action.upstream);
    const caller& from = this->callers.at(this->key_of(at, action.request));
    this->result.sends += 1;
    if (this->published(number).service != from.service)
        this->result.sends_to_other_service += 1;
    this->running[number].push_back(started);
    this->record_send(number);
}

void connection_skew_fleet::execute_action(node& at,
                                           const traffic::cancel_send& action)
{
    if (member_request_table::is_member_request(action.request))
        return;
    for (std::vector<run>& all : this->running)
        std::erase_if(all, [&](const run& one) {
            return one.entry == at.number && one.request == action.request &&
                   one.send == action.send;
        });
}

void connection_skew_fleet::execute_action(
    node& at, const traffic::deliver_answer& action)
{
    const auto found = this->callers.find(this->key_of(at, action.request));
    if (found == this->callers.end())
        return;
    if (found->second.counted_in != nullptr)
        found->second.counted_in->served += 1;
    this->callers.erase(found);
}

void connection_skew_fleet::execute_action(node& at,
                                           const traffic::end_request& action)
{
    if (member_request_table::is_member_request(action.request)) {
        this->processes[at.number].members.on_denied(action.request,
                                                     action.verdict);
        return;
    }
    const auto found = this->callers.find(this->key_of(at, action.request));
    if (found == this->callers.end())
        return;
    retry next{found->second, at.number};
    this->callers.erase(found);
    if (action.verdict.run == base::run_state::may_have_run ||
        next.from.attempts >= attempts_most)
        return;
    next.from.attempts += 1;
    next.from.counted_in = nullptr;
    this->retries.emplace(
        this->fleet.time() + action.verdict.retry_after.value_or(200ms), next);
}

void connection_skew_fleet::execute_action(
    node& at, const traffic::check_upstream& action)
{
    this->submit_event(at, traffic::upstream_checked{action.upstream, true});
}

} // namespace greengagedrum::entry::fleet_test
