// Requests that this entry dispatches for its members, and own requests that
// another entry dispatches.
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/send_check.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

namespace greengagedrum::entry
{

// An earlier send of the request has been charged already.

dispatch::member_report request_handler::make_member_report() const
{
    const base::instant now = this->state.clock();
    dispatch::member_report out;
    for (traffic::queued_send& one : this->state.scheduler.queued_sends(now)) {
        const auto found = this->requests.find(one.request);
        if (found == this->requests.end())
            continue;
        const active_request& request = found->second;
        // The dispatcher that counted this entry's usage may be gone; the limit
        // state
        const bool counted = request.counted_here || request.sent_at;
        out.slot_requests.push_back({{one.request, one.send},
                                     one.facts,
                                     std::move(one.tried),
                                     request.cost,
                                     counted});
    }
    for (const traffic::active_send& one :
         this->state.scheduler.active_sends()) {
        if (dispatch::member_request_table::is_member_request(one.request))
            continue;
        out.running.push_back({{one.request, one.send},
                               one.upstream,
                               one.pending_prefill_tokens});
    }
    out.status_updates = this->send_statuses.unacknowledged();
    out.kept_upstreams = this->kept.freshest(dispatch::kept_upstreams_max);
    return out;
}

void request_handler::on_dispatcher_reply(
    const dispatch::dispatcher_reply& reply)
{
    this->send_statuses.acknowledge(reply.acked_status);
    for (const dispatch::slot_grant& one : reply.grants)
        this->submit_event(traffic::slot_granted{one.id.request,
                                                 one.id.send,
                                                 one.upstream,
                                                 one.expected_first_event,
                                                 one.slots_taken,
                                                 one.slots});
    for (const dispatch::slot_denial& one : reply.denials)
        this->submit_event(
            traffic::slot_denied{one.id.request,
                                 one.id.send,
                                 base::not_run(one.reason, one.retry_after)});
}

void request_handler::start_delegating()
{
    this->state.delegating = true;
    this->state.scheduler.set_delegating(true);
    this->apply_member_changes(this->members.remove_all_members());
}

// that it sent last is all that remains of its knowledge.
//
// Failure guarded against: a dispatcher dies, and each of its members would
// have the whole of every limit until it has counted the others. Of three
// waiting requests of 200 tokens each, all three were sent on a share of 285
// tokens.
void request_handler::stop_delegating(std::size_t unheard,
                                      const limit_handover* known)
{
    const base::instant now = this->state.clock();
    if (known != nullptr)
        this->state.limiter.take_over(
            known->sender, known->incarnation, known->usage, now);
    else
        this->state.limiter.restart(now);
    this->state.limiter.set_never_heard_peer_count(unheard);
    this->state.limiter.update_silent_peers(now);
    this->state.delegating = false;
    // Until all are charged, the scheduler sends none of them: those over their
    // limit are refused as not run.
    this->charge_queued_requests();
    this->state.scheduler.set_delegating(false);
}

// The limit charged nothing, so there is nothing to refund.

void request_handler::on_member_report(
    base::slot_id member,
    base::incarnation incarnation,
    const dispatch::member_report& report,
    std::span<const traffic::upstream_load> loads)
{
    const dispatch::request_changes changes =
        this->members.on_report(member, incarnation, report, loads);
    this->state.scheduler.on_peer_report(
        member, changes.loads_dispatched_elsewhere, {}, this->state.clock());
    this->state.scheduler.set_kept_upstreams(member, report.kept_upstreams);
    this->apply_member_changes(changes);
}

void request_handler::on_member_lost(base::slot_id member)
{
    this->state.scheduler.set_kept_upstreams(member, {});
    this->apply_member_changes(this->members.remove_member(member));
}

void request_handler::apply_member_changes(
    const dispatch::request_changes& changes)
{
    const base::instant now = this->state.clock();
    for (const dispatch::limit_charge& cost : changes.refunds)
        this->state.limiter.refund_unsent(cost.workspace, cost.amount, now);
    for (const traffic::event& one : changes.events)
        this->submit_event(one);
    for (const auto& [id, wanted] : changes.new_requests)
        this->add_member_request(id, wanted);
}

void request_handler::add_member_request(base::request_id id,
                                         const dispatch::slot_request& wanted)
{
    const auto retry_after =
        wanted.charged ? std::nullopt
                       : this->state.limiter.try_acquire(wanted.facts.workspace,
                                                         wanted.cost,
                                                         wanted.facts.priority,
                                                         this->state.clock());
    if (retry_after) {
        this->log_over_limit(wanted.facts.workspace,
                             wanted.cost,
                             wanted.facts.priority,
                             *retry_after);
        // Uses the configuration in force on this entry: members name only the
        // route
        this->members.on_denied(
            id, base::not_run(base::reason::limit_reached, retry_after));
        return;
    }
    traffic::request_facts facts = wanted.facts;
    facts.allowed_data_centres = this->data_centre_constraint_of(facts);
    facts.sender = this->members.member_of(id);
    this->submit_event(
        traffic::request_arrived{id, facts, wanted.tried_upstreams});
}

// and the workspace.
routing::data_centre_constraint request_handler::data_centre_constraint_of(
    const traffic::request_facts& facts) const
{
    const routing::route_table_ptr& table = this->state.cluster.routes();
    const routing::route* route =
        table ? table->find_route(facts.kind) : nullptr;
    if (route == nullptr)
        return {};
    return routing::data_centre_constraint_of(
        *route, table->find_workspace(facts.workspace), this->state.regions);
}

bool request_handler::may_send(const active_request& request,
                               const routing::published_upstream& to) const
{
    const request_info& info = request.http_exchange->info();
    const std::string_view objection =
        send_objection({request.service, info.allowed_data_centres}, to);
    if (objection.empty())
        return true;
    this->state.log.write(this->state.clock(),
                          "scheduler",
                          "send_prevented",
                          {{"request", info.marks.attempt},
                           {"upstream", to.name},
                           {"why", objection}});
    return false;
}

void request_handler::grant_slot(const traffic::send_request& order)
{
    const base::instant now = this->state.clock();
    if (this->state.cluster.upstreams().find_usable(order.upstream) ==
        nullptr) {
        // The upstream left within the same event loop turn.
        if (const auto cost = this->members.forget_send(order.request))
            this->state.limiter.refund_unsent(
                cost->workspace, cost->amount, now);
        return this->submit_event(traffic::caller_left{order.request});
    }
    if (const auto cost = this->members.on_granted(order))
        this->state.limiter.on_sent(cost->workspace, cost->amount, now);
}

void request_handler::deny_slot(const traffic::end_request& order)
{
    const auto cost = this->members.on_denied(order.request, order.verdict);
    if (cost)
        this->state.limiter.refund_unsent(
            cost->workspace, cost->amount, this->state.clock());
}

} // namespace greengagedrum::entry
