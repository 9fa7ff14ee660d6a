#include <greengagedrum/quota/priority_demand.hpp>

#include <algorithm>

namespace greengagedrum::quota
{

namespace
{

// A priority is starved if the admitted part of its demand is below this ratio
// of the admitted part of all demand, as in traffic::wait_queue.
constexpr double starvation_ratio = 0.3;

} // namespace

std::size_t priority_demand::level_of(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, max_levels - 1);
}

void priority_demand::on_requested(std::uint32_t priority,
                                   double cost,
                                   base::instant now)
{
    demand_level& level = this->levels.at(level_of(priority));
    level.requests.add(1, now);
    level.requested.add(cost, now);
}

void priority_demand::on_admitted(std::uint32_t priority,
                                  double cost,
                                  base::instant now)
{
    this->levels.at(level_of(priority)).admitted.add(cost, now);
}

double priority_demand::total_rate(base::instant now) const
{
    double sum = 0;
    for (const demand_level& level : this->levels)
        sum += level.requested.per_second(now);
    return sum;
}

double priority_demand::higher_priority_rate(std::uint32_t priority,
                                             base::instant now) const
{
    double sum = 0;
    for (std::size_t at = 0; at < level_of(priority); ++at)
        sum += this->levels.at(at).requested.per_second(now);
    return sum;
}

double priority_demand::higher_priority_cost(std::uint32_t priority,
                                             base::instant now) const
{
    double requests = 0;
    for (std::size_t at = 0; at < level_of(priority); ++at)
        requests += this->levels.at(at).requests.per_second(now);
    return requests > 0 ? this->higher_priority_rate(priority, now) / requests
                        : 0;
}

bool priority_demand::is_starved(std::uint32_t priority,
                                 base::instant now) const
{
    double all_admitted = 0;
    for (const demand_level& level : this->levels)
        all_admitted += level.admitted.per_second(now);
    const demand_level& own_level = this->levels.at(level_of(priority));
    return own_level.admitted.per_second(now) * this->total_rate(now) <
           starvation_ratio * all_admitted *
               own_level.requested.per_second(now);
}

} // namespace greengagedrum::quota
