#include <greengagedrum/dispatch/test/dispatch_simulation.hpp>

#include <algorithm>
#include <numeric>
#include <string>

namespace greengagedrum::dispatch
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id desk_service("desk");
constexpr base::duration step = 5ms;
constexpr base::duration report_interval = 2ms;
constexpr base::duration heartbeat_interval = 100ms;

std::unique_ptr<traffic::scheduler> make_scheduler(
    const simulation_settings& settings, std::uint64_t salt, base::instant now)
{
    auto out = std::make_unique<traffic::scheduler>(
        traffic::retry_budget_settings{0.2, 50, 10s},
        traffic::entry_identity{"hall", salt});
    for (std::size_t index = 0; index < settings.upstreams; ++index) {
        routing::published_upstream entry;
        entry.name = "u-" + std::to_string(index);
        entry.id = base::upstream_id(entry.name);
        entry.service = desk_service;
        entry.slots = settings.slots;
        entry.data_centre = "hall";
        out->upstream_joined(entry, now);
    }
    return out;
}

base::slot_id slot_of(std::size_t member)
{
    return base::slot_id("m-" + std::to_string(member));
}

} // namespace

dispatch_simulation::dispatch_simulation(const simulation_settings& settings)
    : settings(settings), random(settings.seed), members(settings.members)
{
    for (std::size_t index = 0; index < settings.members; ++index)
        this->member_indices[slot_of(index)] = index;
    std::uint64_t salt = 1;
    for (member& each_member : this->members) {
        each_member.decisions = make_scheduler(settings, salt++, this->now);
        each_member.decisions->set_delegating(true);
    }
    this->begin_dispatcher();
}

void dispatch_simulation::begin_dispatcher()
{
    this->term += 1;
    this->dispatcher =
        make_scheduler(this->settings, 1000 + this->term, this->now);
    this->request_table = std::make_unique<member_request_table>();
}

void dispatch_simulation::schedule(base::instant when,
                                   std::function<void()> action)
{
    this->events.emplace(when, std::move(action));
}

bool dispatch_simulation::is_lost()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           this->settings.loss_rate;
}

double dispatch_simulation::arrivals_per_second() const
{
    const double seconds =
        std::chrono::duration<double>(this->settings.work).count();
    const double all =
        static_cast<double>(this->settings.upstreams * this->settings.slots) /
        seconds;
    const bool burst = this->now - this->began < this->settings.burst;
    return all * (burst ? this->settings.burst_load
                        : this->settings.load_after_burst);
}

simulation_result dispatch_simulation::run()
{
    this->arrive_next();
    this->tick();
    if (this->settings.dispatcher_dies) {
        this->schedule(this->began + 2s, [this] {
            this->dispatcher.reset();
            this->request_table.reset();
        });
        this->schedule(this->began + 2500ms,
                       [this] { this->begin_dispatcher(); });
    }
    const base::instant end = this->began + this->settings.length;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        const auto next = this->events.begin();
        this->now = next->first;
        const std::function<void()> action = std::move(next->second);
        this->events.erase(next);
        action();
    }
    this->out.busy = this->busy_sum / std::max(1.0, this->busy_samples);
    for (const member& each_member : this->members)
        this->out.messages =
            std::max(this->out.messages,
                     each_member.messages / static_cast<std::uint32_t>(
                                                this->settings.length / 1s));
    return this->out;
}

void dispatch_simulation::arrive_next()
{
    std::exponential_distribution<double> gap(this->arrivals_per_second());
    const auto wait = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(gap(this->random)));
    this->schedule(this->now + wait, [this] { this->arrive(); });
}

void dispatch_simulation::arrive()
{
    const std::size_t at = std::uniform_int_distribution<std::size_t>(
        0, this->members.size() - 1)(this->random);
    traffic::request_facts facts;
    facts.service = desk_service;
    facts.kind = base::kind_id("ping");
    facts.latency_objective = 300ms;
    facts.time_left = std::max<base::duration>(3s, 5 * this->settings.work);
    this->out.arrived += 1;
    this->arrived_at[this->next_request] = this->now;
    this->member_step(at,
                      traffic::request_arrived{
                          base::request_id{this->next_request++}, facts});
    this->report(at);
    this->arrive_next();
}

void dispatch_simulation::member_step(std::size_t number,
                                      const traffic::event& event)
{
    member& sender = this->members.at(number);
    sender.status_log.record(event);
    traffic::actions orders;
    sender.decisions->step(event, this->now, orders);
    this->member_orders(number, orders);
}

void dispatch_simulation::member_orders(std::size_t number,
                                        const traffic::actions& orders)
{
    for (const traffic::action& order : orders) {
        if (const auto* send = std::get_if<traffic::send_request>(&order))
            this->send(number, *send);
        if (const auto* stop = std::get_if<traffic::cancel_send>(&order))
            this->end_work(stop->request);
        if (std::holds_alternative<traffic::deliver_answer>(order))
            this->out.answered += 1;
        if (const auto* end = std::get_if<traffic::end_request>(&order))
            this->note_refusal(end->request);
    }
    if (!orders.empty())
        this->report(number);
}

void dispatch_simulation::note_refusal(base::request_id request)
{
    this->out.refused += 1;
    const base::duration since_burst =
        this->arrived_at.at(request.value) - this->began - this->settings.burst;
    this->out.last_refused = std::max(this->out.last_refused, since_burst);
}

void dispatch_simulation::send(std::size_t from,
                               const traffic::send_request& order)
{
    if (++this->sends[order.request.value] > 1)
        this->out.sent_twice += 1;
    std::uint32_t& load_on_upstream = this->running[order.upstream];
    load_on_upstream += 1;
    this->out.max_on_one_upstream =
        std::max(this->out.max_on_one_upstream, load_on_upstream);
    const base::duration queued = load_on_upstream > this->settings.slots
                                      ? this->settings.work
                                      : base::duration(0);
    const base::duration takes =
        this->settings.work + queued + 2 * this->settings.transit_time;
    this->upstream_by_request[order.request.value] = order.upstream;
    this->schedule(this->now + takes,
                   [this, from, request = order.request, send = order.send] {
                       if (this->end_work(request))
                           this->member_step(
                               from,
                               traffic::answer_received{request, send, true});
                   });
}

// False if the request was cancelled before.
bool dispatch_simulation::end_work(base::request_id request)
{
    const auto found = this->upstream_by_request.find(request.value);
    if (found == this->upstream_by_request.end())
        return false;
    this->running[found->second] -= 1;
    this->upstream_by_request.erase(found);
    return true;
}

void dispatch_simulation::report(std::size_t from)
{
    member& sender = this->members.at(from);
    if (sender.changed)
        return;
    sender.changed = true;
    const base::instant due =
        std::max(this->now, sender.reported_at + report_interval);
    this->schedule(due, [this, from] {
        member& reporter = this->members.at(from);
        reporter.changed = false;
        reporter.reported_at = this->now;
        reporter.messages += 1;
        member_report report;
        report.sequence = ++reporter.reports;
        reporter.unanswered = report.sequence;
        for (traffic::queued_send& wait :
             reporter.decisions->queued_sends(this->now))
            report.slot_requests.push_back({{wait.request, wait.send},
                                            wait.facts,
                                            std::move(wait.tried),
                                            0,
                                            true});
        for (const traffic::active_send& run :
             reporter.decisions->active_sends())
            report.running.push_back({{run.request, run.send},
                                      run.upstream,
                                      run.pending_prefill_tokens});
        report.status_updates = reporter.status_log.unacknowledged();
        if (this->is_lost())
            return;
        this->schedule(this->now + this->settings.transit_time,
                       [this, from, report, to = this->term] {
                           this->receive_report(from, report, to);
                       });
    });
}

void dispatch_simulation::receive_reply(std::size_t to,
                                        const dispatcher_reply& reply)
{
    member& receiver = this->members.at(to);
    receiver.status_log.acknowledge(reply.acked_status);
    if (receiver.unanswered <= reply.acked_report)
        receiver.unanswered = 0;
    for (const slot_grant& grant : reply.grants) {
        traffic::slot_granted event;
        event.request = grant.id.request;
        event.send = grant.id.send;
        event.upstream = grant.upstream;
        this->member_step(to, event);
    }
    for (const slot_denial& denial : reply.denials)
        this->member_step(
            to,
            traffic::slot_denied{
                denial.id.request,
                denial.id.send,
                base::not_run(denial.reason, denial.retry_after)});
}

void dispatch_simulation::receive_report(std::size_t from,
                                         const member_report& report,
                                         std::uint64_t to)
{
    if (!this->dispatcher || to != this->term)
        return;
    const request_changes changes = this->request_table->on_report(
        slot_of(from), base::incarnation{1}, report, {});
    this->dispatcher->on_peer_report(
        slot_of(from), changes.loads_dispatched_elsewhere, {}, this->now);
    for (const traffic::event& event : changes.events)
        this->dispatcher_step(event);
    for (const auto& [id, wanted] : changes.new_requests)
        this->dispatcher_step(
            traffic::request_arrived{id, wanted.facts, wanted.tried_upstreams});
    this->answer_members();
}

void dispatch_simulation::dispatcher_step(const traffic::event& event)
{
    traffic::actions orders;
    this->dispatcher->step(event, this->now, orders);
    this->dispatcher_orders(orders);
}

void dispatch_simulation::dispatcher_orders(const traffic::actions& orders)
{
    for (const traffic::action& order : orders) {
        if (const auto* send = std::get_if<traffic::send_request>(&order))
            this->request_table->on_granted(*send);
        if (const auto* end = std::get_if<traffic::end_request>(&order))
            this->request_table->on_denied(end->request, end->verdict);
    }
}

void dispatch_simulation::answer_members()
{
    for (const base::slot_id slot :
         this->request_table->members_to_answer(this->now)) {
        const std::size_t index = this->member_indices.at(slot);
        const dispatcher_reply reply =
            this->request_table->build_reply(slot, this->now);
        if (!this->is_lost())
            this->schedule(
                this->now + this->settings.transit_time,
                [this, index, reply] { this->receive_reply(index, reply); });
    }
}

void dispatch_simulation::tick()
{
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        const member& reporter = this->members.at(index);
        traffic::actions orders;
        if (reporter.decisions->in_flight() > 0)
            reporter.decisions->tick(this->now, orders);
        this->member_orders(index, orders);
        const base::duration silent = this->now - reporter.reported_at;
        if (silent >=
            (reporter.unanswered > 0 ? resend_interval : heartbeat_interval))
            this->report(index);
    }
    if (this->dispatcher) {
        traffic::actions orders;
        this->dispatcher->tick(this->now, orders);
        this->dispatcher_orders(orders);
        this->answer_members();
    }
    const base::duration passed = this->now - this->began;
    if (passed > 1s && passed < this->settings.burst) {
        double taken = 0;
        for (const auto& [upstream, load_on_upstream] : this->running)
            taken += std::min(load_on_upstream, this->settings.slots);
        this->busy_sum += taken / static_cast<double>(this->settings.upstreams *
                                                      this->settings.slots);
        this->busy_samples += 1;
    }
    this->schedule(this->now + step, [this] { this->tick(); });
}

} // namespace greengagedrum::dispatch
