// Timeouts and retries: how long a request waits for each step, and when it is
// sent again.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

using placement::duration_of;

namespace
{

// A stream's first event is overdue after this many times its estimate, but not
// before the minimum below. A prompt on a full engine takes about three times
// its estimate.
constexpr double first_event_patience = 4;
constexpr base::duration first_event_floor = std::chrono::milliseconds(1000);

// Minimum time between events before an upstream counts as silent. Objectives
// allow gaps of 200 ms, and callers leave after two seconds without an event.
constexpr base::duration gap_floor = std::chrono::milliseconds(700);

// The entry that dispatches this entry's requests knows when there is a free
// slot, so its refusal takes precedence over the local timeout. It takes two
// datagrams.
constexpr base::duration declined_within = std::chrono::milliseconds(100);

// Longest time between two wake-ups; deadlines may be exceeded by this much.
constexpr base::duration longest_sleep = std::chrono::milliseconds(250);

} // namespace

std::optional<base::instant> scheduler::next_wake() const
{
    std::optional<base::instant> first;
    for (const auto& [id, item] : this->requests) {
        base::instant due = item.deadline;
        if (item.queued && item.send == 0)
            due = std::min({due, item.give_up_at, this->now + longest_sleep});
        else
            due = std::min(due, this->now + longest_sleep);
        if (!first || due < *first)
            first = due;
    }
    return first;
}

bool scheduler::may_repeat(const request& item) const
{
    return item.facts.retry != routing::retry_policy::at_most_once;
}

void scheduler::on(const connect_failed& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr)
        return;
    this->suspects.on_not_run(features_of(*item), item->sent_at);
    if (what.own_shortage) {
        this->pool.probe_inconclusive(item->upstream);
    } else {
        this->record_connect_failure(*item);
        exclude(*item, item->upstream);
    }
    readmit_silent(*item);
    this->end_send(*item);
    item->sends -= 1;
    item->uncertain -= 1;
    if (item->facts.delegated)
        return this->forget(*item);
    if (what.own_shortage)
        return this->fail(*item, base::reason::overloaded);
    if (item->connects >= connects_max)
        return this->fail(*item,
                          item->uncertain == 0 ? base::reason::no_upstream
                                               : base::reason::upstream_failed);
    this->join_queue(*item);
}

// Queues the request for another upstream if the route's retry bound, the retry
// budget shared by all entries and the time left allow it.
bool scheduler::queue_retry(request& item)
{
    if (item.sends >= item.facts.attempts_max || this->is_quarantined(item) ||
        this->now + this->first_event_expected(item) >= item.deadline ||
        this->lacks_version(item))
        return false;
    // A request that has not run is refused as such instead.
    if (item.uncertain != 0 && this->outlasts_stop(item))
        return false;
    if (!this->retries.spend(item.facts.service, this->now))
        return false;
    this->join_queue(item);
    return true;
}

// Queues a request again whose silent send was given up for one that was
// rejected. The rejected send spends no attempt: the caller would have an
// unfinished answer, while the silent upstream may go on.
bool scheduler::queue_replacement(request& item)
{
    item.sends -= 1;
    readmit_silent(item);
    if (item.connects >= connects_max ||
        !this->pool.has_usable(this->query_for(item), {}, this->delegating))
        return false;
    this->join_queue(item);
    return true;
}

// The request must not be sent to that upstream again.
void scheduler::exclude(request& item, base::upstream_id upstream)
{
    item.tried.push_back(upstream);
    std::erase(item.left_silent, upstream);
}

// Upstreams that were only silent may be sent the request again, since the
// replacement has not taken it.
void scheduler::readmit_silent(request& item)
{
    for (const base::upstream_id one : item.left_silent)
        std::erase(item.tried, one);
    item.left_silent.clear();
}

void scheduler::check_time(request& item)
{
    if (item.queued && item.send == 0 && this->is_quarantined(item))
        return this->refuse_quarantined(item);
    if (item.queued && item.uncertain == 0 && this->outlasts_stop(item))
        return this->refuse_stopping(item);
    const base::duration reply_takes =
        this->delegating ? declined_within : base::duration(0);
    if (item.queued && item.uncertain == 0 &&
        this->now >= item.give_up_at + reply_takes)
        return this->refuse(item, base::reason::overloaded);
    if (this->now >= item.deadline) {
        if (item.send != 0) {
            this->out->push_back(cancel_send{item.id, item.send});
            this->record_unfinished(item);
            this->pool.probe_inconclusive(item.upstream);
            this->end_send(item);
        }
        return this->fail(item, base::reason::deadline);
    }
    if (item.send == 0 && !item.queued && this->now >= item.denied_until)
        return this->join_queue(item);
    if (item.send != 0 && !item.facts.delegated)
        this->check_silence(item);
}

// Handles a connection that may be lost or whose upstream hangs. A request that
// may be repeated asks for a slot at another upstream, and its send goes on
// until there is one: a sound upstream may pause for a second. Any other
// request keeps waiting, since silence does not prove that it did not run.
void scheduler::check_silence(request& item)
{
    if (!this->should_move(item))
        return this->leave_queue(item);
    if (!item.silence_reported && this->is_silent(item)) {
        item.silence_reported = true;
        this->record_failure(item.upstream, failure_kind::silent);
    }
    if (!this->may_move(item))
        return this->leave_queue(item);
    if (item.queued || this->now < item.denied_until)
        return;
    item.tried.push_back(item.upstream);
    this->join_queue(item);
}

void scheduler::on(const reading_paused& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr || item->paused_at)
        return;
    item->paused_at = this->now;
    if (!item->carrier_stops)
        this->leave_queue(*item);
}

void scheduler::on(const reading_resumed& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr || !item->paused_at)
        return;
    item->progress_at += this->now - *item->paused_at;
    item->paused_at.reset();
}

// A request that may be repeated asks for another slot, as one whose upstream
// is silent does.
void scheduler::on(const carrier_stopping& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr || item->carrier_stops)
        return;
    item->carrier_stops = true;
    this->check_silence(*item);
}

bool scheduler::should_move(const request& item) const
{
    return item.carrier_stops || this->is_silent(item);
}

bool scheduler::is_silent(const request& item) const
{
    if (item.paused_at)
        return false;
    const base::duration first = std::max(
        first_event_floor, duration_of(first_event_patience * item.expected));
    const base::duration bound =
        item.events == 0
            ? first
            : std::max(gap_floor, 3 * item.facts.event_gap_objective);
    // An upstream that makes progress on other requests is alive and may be
    // processing a long prompt first.
    const base::instant last =
        std::max(item.progress_at, this->pool.progress_at(item.upstream));
    return this->now - last >= bound;
}

bool scheduler::may_move(const request& item)
{
    return this->may_repeat(item) && item.sends < item.facts.attempts_max &&
           !this->is_quarantined(item) && !this->outlasts_stop(item) &&
           this->pool.has_usable(
               this->query_for(item), item.upstream, this->delegating) &&
           this->retries.has_left(item.facts.service, this->now);
}

// Cancels the send of a silent request that has got another slot. False: it
// stays where it is, since its upstream has made progress or others have used
// up the retry budget meanwhile.
bool scheduler::give_up_silent_send(request& item)
{
    if (!this->should_move(item) || !this->may_move(item) ||
        !this->retries.spend(item.facts.service, this->now)) {
        this->leave_queue(item);
        return false;
    }
    this->out->push_back(cancel_send{item.id,
                                     item.send,
                                     item.carrier_stops
                                         ? cancel_cause::carrier_stopping
                                         : cancel_cause::upstream_silent});
    this->queues[item.facts.service].record_cut(item.facts.kind,
                                                this->now - item.sent_at);
    item.tried.push_back(item.upstream);
    item.left_silent.push_back(item.upstream);
    item.replaces_silent = true;
    this->end_send(item);
    return true;
}

} // namespace greengagedrum::traffic
