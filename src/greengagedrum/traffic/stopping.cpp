// Requests of an entry that stops: which of them can still end, and the end of
// all others.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Another entry serves a refused request at once, while one that is cut at the
// end has lost its time, so a request has to end in time even if it takes this
// many times its average.
constexpr double time_reserve = 2;

// A mean is no bound of a kind in which a few requests take several times as
// long, so this share of its requests has to end in time too.
constexpr double ending_share = 0.99;

// Another entry takes the request; a new connection is all that it needs.
constexpr base::duration retry_after_stopping = std::chrono::milliseconds(50);

} // namespace

// The time after which hardly any request of its kind still runs. Its caller
// waits no longer than the time left.
base::duration scheduler::hold_expected(const request& item) const
{
    const base::duration left = item.deadline - this->now;
    const auto queue = this->queues.find(item.facts.service);
    if (queue == this->queues.end())
        return base::duration(0);
    const base::duration by_mean = placement::duration_of(
        time_reserve * queue->second.hold_seconds(item.facts.kind));
    const base::duration by_tail =
        queue->second.hold_quantile(item.facts.kind, ending_share)
            .value_or(base::duration(0));
    return std::min(left, std::max(by_mean, by_tail));
}

// A stream that may be resumed elsewhere is no exception: once it is cut, its
// caller has a broken stream and may have no retry left.
bool scheduler::outlasts_stop(const request& item) const
{
    return this->stop_at && !item.facts.delegated &&
           this->now + this->hold_expected(item) > *this->stop_at;
}

stop_estimate scheduler::stop_estimate_of(const request& item) const
{
    stop_estimate out;
    out.expected = this->hold_expected(item);
    if (this->stop_at)
        out.left = std::max(base::duration(0), *this->stop_at - this->now);
    return out;
}

void scheduler::refuse_stopping(request& item)
{
    this->end(item,
              base::not_run(base::reason::stopping, retry_after_stopping));
}

void scheduler::end_all(base::instant at, actions& into)
{
    this->now = at;
    this->out = &into;
    std::vector<base::request_id> known;
    for (const auto& [id, item] : this->requests)
        if (!item.facts.delegated)
            known.push_back(id);
    for (const base::request_id id : known) {
        request& item = this->requests.at(id);
        if (item.send != 0) {
            this->out->push_back(cancel_send{item.id, item.send});
            this->pool.probe_inconclusive(item.upstream);
            this->end_send(item);
        }
        if (item.uncertain == 0)
            this->refuse_stopping(item);
        else
            this->end(item, base::may_have_run(base::reason::stopping));
    }
    this->out = nullptr;
}

} // namespace greengagedrum::traffic
