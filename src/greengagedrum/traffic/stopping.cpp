// Requests of an entry that stops: which of them can still end, and the end of
// all others.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

namespace greengagedrum::traffic
{

namespace
{

// Another entry serves a refused request at once, while one that is cut at the
// end has lost its time, so a request has to end in time even if it takes this
// many times its average.
constexpr double time_reserve = 2;

// Another entry takes the request; a new connection is all that it needs.
constexpr base::duration retry_after_stopping = std::chrono::milliseconds(50);

} // namespace

bool scheduler::outlasts_stop(const request& item) const
{
    if (!this->stop_at || item.facts.delegated)
        return false;
    const auto queue = this->queues.find(item.facts.service);
    const double hold = queue == this->queues.end()
                            ? 0
                            : queue->second.hold_seconds(item.facts.kind);
    return this->now + placement::duration_of(time_reserve * hold) >
           *this->stop_at;
}

void scheduler::refuse_stopping(request& item)
{
    this->end(item,
              base::not_run(base::reason::stopping, retry_after_stopping));
}

} // namespace greengagedrum::traffic
