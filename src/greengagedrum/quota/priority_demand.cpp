#include <greengagedrum/quota/priority_demand.hpp>

#include <algorithm>

namespace greengagedrum::quota
{

namespace
{

// Of the part that is let through of all: operators call a quarter starving.
constexpr double floor_part = 0.3;

} // namespace

std::size_t priority_demand::level_of(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, levels_max - 1);
}

void priority_demand::asked(std::uint32_t priority,
                            double cost,
                            base::instant now)
{
    level& own = this->levels.at(level_of(priority));
    own.requests.add(1, now);
    own.asked.add(cost, now);
}

void priority_demand::let_through(std::uint32_t priority,
                                  double cost,
                                  base::instant now)
{
    this->levels.at(level_of(priority)).let.add(cost, now);
}

double priority_demand::all(base::instant now) const
{
    double sum = 0;
    for (const level& one : this->levels)
        sum += one.asked.per_second(now);
    return sum;
}

double priority_demand::more_urgent(std::uint32_t priority,
                                    base::instant now) const
{
    double sum = 0;
    for (std::size_t at = 0; at < level_of(priority); ++at)
        sum += this->levels.at(at).asked.per_second(now);
    return sum;
}

double priority_demand::urgent_cost(std::uint32_t priority,
                                    base::instant now) const
{
    double requests = 0;
    for (std::size_t at = 0; at < level_of(priority); ++at)
        requests += this->levels.at(at).requests.per_second(now);
    return requests > 0 ? this->more_urgent(priority, now) / requests : 0;
}

bool priority_demand::starved(std::uint32_t priority, base::instant now) const
{
    double all_let = 0;
    for (const level& one : this->levels)
        all_let += one.let.per_second(now);
    const level& own = this->levels.at(level_of(priority));
    return own.let.per_second(now) * this->all(now) <
           floor_part * all_let * own.asked.per_second(now);
}

} // namespace greengagedrum::quota
