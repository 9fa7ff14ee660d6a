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
        if (item.queued)
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

// Queues the request for another upstream if the route's retry bound, the retry
// budget shared by all entries and the time left allow it.
bool scheduler::queue_retry(request& item)
{
    if (item.sends >= item.facts.attempts_max || this->is_quarantined(item) ||
        this->now + this->first_event_expected(item) >= item.deadline ||
        this->lacks_version(item))
        return false;
    if (!this->retries.spend(item.facts.service, this->now))
        return false;
    this->join_queue(item);
    return true;
}

void scheduler::check_time(request& item)
{
    if (item.queued && this->is_quarantined(item))
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
    if (!item.queued && !item.facts.delegated)
        this->check_silence(item);
}

// Handles a connection that may be lost or whose upstream hangs. A request that
// may be repeated is sent to another upstream. Any other request keeps waiting,
// since silence does not prove that it did not run.
void scheduler::check_silence(request& item)
{
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
    if (this->now - last < bound || item.silence_reported)
        return;
    item.silence_reported = true;
    this->record_failure(item.upstream, failure_kind::silent);
    const bool again = this->may_repeat(item) &&
                       item.sends < item.facts.attempts_max &&
                       !this->is_quarantined(item) &&
                       !this->lacks_version(item, item.upstream);
    if (!again)
        return;
    const std::uint32_t send = item.send;
    const base::upstream_id upstream = item.upstream;
    if (!this->retries.spend(item.facts.service, this->now))
        return;
    this->out->push_back(
        cancel_send{item.id, send, cancel_cause::upstream_silent});
    this->end_send(item);
    item.tried.push_back(upstream);
    this->join_queue(item);
}

} // namespace greengagedrum::traffic
