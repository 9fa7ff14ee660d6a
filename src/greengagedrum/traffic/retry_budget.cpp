#include <greengagedrum/traffic/retry_budget.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Fraction of the budget in use. The rest covers requests that fall just
// outside the window here but inside the window at the upstreams.
constexpr double part_used = 0.8;

} // namespace

void retry_budget::drop_old(std::deque<base::instant>& times,
                            base::instant now) const
{
    while (!times.empty() && now - times.front() > this->bounds.window)
        times.pop_front();
}

void retry_budget::arrived(base::upstream_class_id service, base::instant now)
{
    service_window& own = this->windows[service];
    this->drop_old(own.requests, now);
    own.requests.push_back(now);
}

bool retry_budget::has_left(base::upstream_class_id service, base::instant now)
{
    service_window& own = this->windows[service];
    this->drop_old(own.requests, now);
    this->drop_old(own.retries, now);
    const double slack =
        this->bounds.slack /
        static_cast<double>(std::max<std::size_t>(1, this->entries));
    const double earned =
        this->bounds.ratio * static_cast<double>(own.requests.size());
    return static_cast<double>(own.retries.size()) + 1 <=
           part_used * (slack + earned);
}

bool retry_budget::spend(base::upstream_class_id service, base::instant now)
{
    if (!this->has_left(service, now))
        return false;
    this->windows[service].retries.push_back(now);
    return true;
}

} // namespace greengagedrum::traffic
