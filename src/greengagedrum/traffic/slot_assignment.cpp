// Dispatch of queued requests to upstreams.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>
#include <numeric>

namespace greengagedrum::traffic
{

using placement::duration_of;

namespace
{

// Share by which the time that an upstream takes deviates from its estimate. A
// wait is certain, so it has to gain more than that.
constexpr double estimate_error = 0.25;

} // namespace

base::duration scheduler::first_event_expected(const request& item) const
{
    return duration_of(this->pool.average_first_event(
        item.facts.service, item.facts.prompt_tokens));
}

waiting_request scheduler::queue_entry(const request& item) const
{
    waiting_request out;
    out.request = item.id;
    out.kind = item.facts.kind;
    out.priority = item.facts.priority;
    out.queued_at = item.queued_at;
    out.overtaken_from = item.overtaken_from;
    out.give_up_at = item.give_up_at;
    return out;
}

void scheduler::join_queue(request& item)
{
    item.queued = true;
    item.queued_at = this->now;
    // Its caller has waited for a slot before.
    if (item.connects > 0)
        item.overtaken_from = base::instant::max();
    this->queues[item.facts.service].add(this->queue_entry(item), this->now);
    if (item.send == 0 && !item.facts.version.empty())
        this->bound_and_queued.insert(item.id);
    // While it was sent, the upstreams may have left.
    if (item.connects > 0)
        this->upstream_missing = true;
}

// Ends the wait for a slot elsewhere of a request with an active send.
void scheduler::leave_queue(request& item)
{
    if (!item.queued)
        return;
    item.queued = false;
    this->queues[item.facts.service].remove(item.id);
    const auto found =
        std::find(item.tried.begin(), item.tried.end(), item.upstream);
    if (found != item.tried.end())
        item.tried.erase(found);
}

// Ends the active send and releases its slot, whatever its result.
void scheduler::end_send(request& item)
{
    const std::uint32_t unread =
        item.events == 0 ? item.facts.prompt_tokens : 0;
    this->pool.ended(item.upstream, unread);
    item.send = 0;
    this->leave_queue(item);
}

void scheduler::dispatch_all_queued()
{
    if (this->paused)
        return;
    this->refuse_queued_without_upstream();
    for (auto& [service, queue] : this->queues) {
        if (!this->delegating && !queue.empty())
            this->dispatch_service(service, queue);
    }
    this->end_queued_without_version();
}

// An arriving request is refused at once where no upstream may run it. Without
// this, those that queued before the last upstream left waited until their
// deadline, and their callers could use none of that time elsewhere.
void scheduler::refuse_queued_without_upstream()
{
    if (!this->upstream_missing || this->delegating)
        return;
    this->upstream_missing = false;
    std::vector<base::request_id> left;
    for (const auto& [id, item] : this->requests) {
        const request_facts& facts = item.facts;
        if (item.queued && item.send == 0 && item.uncertain == 0 &&
            facts.version.empty() &&
            !this->pool.has_upstream(
                facts.service, facts.allowed_data_centres, facts.version))
            left.push_back(id);
    }
    for (const base::request_id id : left)
        this->refuse(this->requests.at(id), base::reason::no_upstream);
}

dispatch_query scheduler::query_for(const request& item) const
{
    const request_facts& facts = item.facts;
    return {facts.service,
            facts.prompt_tokens,
            facts.output_tokens,
            item.tried,
            facts.event_gap_objective,
            item.id.value + item.connects,
            facts.allowed_data_centres,
            sender_of(item),
            this->kept_upstreams_for(item),
            facts.version,
            item.send != 0};
}

void scheduler::dispatch_service(base::upstream_class_id service,
                                 wait_queue& queue)
{
    // Under load there is usually no free slot.
    dispatch_pass& pass = this->current_pass;
    this->pool.begin_pass(service, this->now, pass);
    if (pass.open.empty() && pass.suspected.empty())
        return;
    this->count.dispatch_passes += 1;
    queue.set_slots(this->available_slots(service));
    const queue_lengths elsewhere = this->queued_at_peers(service);
    wait_queue::level_flags starved = queue.starved(this->now);
    double seconds_ahead = 0; // hold times of requests that wait for a slot
    this->passed_slots.clear();
    for (const waiting_request& next : queue.in_order(this->now)) {
        request& item = this->requests.at(next.request);
        if (item.uncertain == 0 && this->outlasts_stop(item)) {
            this->refuse_stopping(item);
            continue;
        }
        // A starved priority does not yield, or it would never be served.
        const bool floor = starved.at(level_of(next.priority));
        if (!floor &&
            this->yields_to_peers(next, elsewhere, pass.healthy_free_slots))
            continue;
        if (this->waits_like_another(item, seconds_ahead)) {
            seconds_ahead += queue.hold_seconds(next.kind);
            continue;
        }
        const dispatch_query query = this->query_for(item);
        const auto where = this->pool.choose(query, pass);
        if (!where && this->may_be_sent_anywhere(item))
            break; // no request behind it would find a slot either
        if (!where)
            continue;
        if (this->waits_for_better_slot(item, query, *where, seconds_ahead)) {
            seconds_ahead += queue.hold_seconds(next.kind);
            continue;
        }
        if (this->dispatch(item, next, *where)) {
            starved = queue.starved(this->now);
            this->passed_slots.clear();
        }
    }
    this->count.upstreams_rated += pass.rated;
}

// True when the request is not bound to some of the upstreams.
bool scheduler::may_be_sent_anywhere(const request& item) const
{
    return item.tried.empty() && item.facts.version.empty() &&
           !item.facts.allowed_data_centres.restricted &&
           this->pool.reachability().is_unrestricted(sender_of(item),
                                                     this->now);
}

// Sends a queued request, unless it may not be sent now.
bool scheduler::dispatch(request& item,
                         const waiting_request& entry,
                         const dispatch_choice& where)
{
    if (item.send == 0 && this->is_quarantined(item)) {
        this->refuse_quarantined(item);
        return false;
    }
    if (this->waits_for_copy(item))
        return false;
    const base::upstream_id former =
        item.send == 0 ? base::upstream_id() : item.upstream;
    if (item.send != 0 && !this->give_up_silent_send(item))
        return false;
    wait_queue& queue = this->queues[item.facts.service];
    queue.take(entry, this->now);
    this->send(item, where);
    this->pool.update_pass(where.upstream, this->current_pass);
    if (!former.empty())
        this->pool.update_pass(former, this->current_pass);
    return true;
}

// Compares the free slot with the upstreams that are full. Waiting is better if
// a slot there is expected soon enough to make up for the wait.
bool scheduler::waits_for_better_slot(request& item,
                                      const dispatch_query& query,
                                      const dispatch_choice& offered,
                                      double seconds_ahead)
{
    const double usual = this->pool.average_first_event(
        item.facts.service, item.facts.prompt_tokens);
    if (offered.probe || offered.delay <= (1 + estimate_error) * usual)
        return false;
    const better_upstreams better =
        this->pool.better_than(offered, query, this->current_pass);
    if (better.slots <= 0)
        return false;
    if (better.any_in_region &&
        this->may_wait_for_slot_in_region(item, offered))
        return true;
    const passed_slot passed{item.facts.kind,
                             item.facts.prompt_tokens,
                             better.slots,
                             offered.delay - better.delay,
                             estimate_error * offered.delay};
    if (!this->gains_by_waiting(item, passed, seconds_ahead))
        return false;
    if (!item.passed_slot_at)
        item.passed_slot_at = this->now;
    if (this->may_be_sent_anywhere(item))
        this->passed_slots.push_back(passed);
    return true;
}

// Full upstreams free one slot per mean hold time, and requests ahead in the
// queue take slots first. As in the ski rental problem, a request waits no
// longer than it can gain, so that a wrong estimate costs it at most as much
// again.
bool scheduler::gains_by_waiting(const request& item,
                                 const passed_slot& passed,
                                 double seconds_ahead) const
{
    const wait_queue& queue = this->queues.at(item.facts.service);
    const double wait =
        (queue.mean_hold_seconds() + seconds_ahead) / passed.better_slots;
    const base::instant begun = item.passed_slot_at.value_or(this->now);
    return wait + passed.uncertain < passed.gain &&
           this->now < begun + duration_of(passed.gain) &&
           this->now + duration_of(wait) <= item.give_up_at;
}

// A request of the same kind with a longer prompt would gain no less by waiting
// than one that waits already, so no upstream is rated for it.
bool scheduler::waits_like_another(request& item, double seconds_ahead) const
{
    if (!this->may_be_sent_anywhere(item))
        return false;
    const auto like =
        std::find_if(this->passed_slots.begin(),
                     this->passed_slots.end(),
                     [&](const passed_slot& one) {
                         return one.kind == item.facts.kind &&
                                one.prompt_tokens <= item.facts.prompt_tokens;
                     });
    if (like == this->passed_slots.end() ||
        !this->gains_by_waiting(item, *like, seconds_ahead))
        return false;
    if (!item.passed_slot_at)
        item.passed_slot_at = this->now;
    return true;
}

// Under load slots of the own region become free every few milliseconds, and a
// request that crosses to another region loses several round trips. So it first
// waits for as long as the crossing would delay it, unless it would then begin
// too late in the other region, or has failed in its own.
bool scheduler::may_wait_for_slot_in_region(
    const request& item, const dispatch_choice& offered) const
{
    return offered.crossing.count() > 0 && item.tried.empty() &&
           this->now < std::min(item.arrived + offered.crossing,
                                item.give_up_at - offered.crossing);
}

// Sums the queue lengths that peers reported. A report is valid until the peer
// is due to send the next one.
queue_lengths scheduler::queued_at_peers(base::upstream_class_id service) const
{
    constexpr base::duration load_report_holds = std::chrono::milliseconds(300);
    queue_lengths out{};
    for (const auto& [peer, message] : this->peer_queues) {
        if (message.services.empty() ||
            this->now - message.at > load_report_holds)
            continue;
        for (const queue_report& one : message.services) {
            if (one.service != service)
                continue;
            for (std::size_t level = 0; level < out.size(); ++level)
                out.at(level) += one.lengths.at(level);
        }
    }
    return out;
}

// Failure guarded against: a slot becomes free, and the first entry that sees
// it uses it for a less urgent request than one queued at another entry.
bool scheduler::yields_to_peers(const waiting_request& item,
                                const queue_lengths& elsewhere,
                                std::uint32_t free)
{
    const std::size_t level = level_of(item.priority);
    const std::uint32_t before =
        std::accumulate(elsewhere.begin(),
                        elsewhere.begin() + static_cast<std::ptrdiff_t>(level),
                        0U);
    return before > 0 && before >= free;
}

void scheduler::send(request& item, const dispatch_choice& where)
{
    item.queued = false;
    item.passed_slot_at.reset();
    item.connects += 1;
    item.send = item.connects;
    item.upstream = where.upstream;
    item.upstream_version = this->pool.version_of(where.upstream);
    this->bound_and_queued.erase(item.id);
    item.sent_at = this->now;
    item.progress_at = this->now;
    item.expected = where.expected;
    item.events = 0;
    item.silence_reported = false;
    item.paused_at.reset();
    item.carrier_stops = false;
    item.parts_cleared = false;
    item.sends += 1;
    item.uncertain += 1;
    this->pool.sent(where, item.facts.prompt_tokens, this->now);
    this->pool.reachability().on_sent(sender_of(item), this->now);
    this->use_kept_upstream(item);
    this->suspects.on_sent(features_of(item), this->now);
    this->count.sent += 1;
    if (item.sends > 1)
        this->count.retried += 1;
    send_request order{
        item.id, item.send, where.upstream, item.deadline, where.choice};
    order.choice.waited = this->now - item.arrived;
    this->figures[item.facts.service].record_sent(order.choice.waited);
    this->out->push_back(order);
}

} // namespace greengagedrum::traffic
