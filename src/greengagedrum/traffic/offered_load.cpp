#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/offered_load.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::traffic
{

namespace
{

constexpr double least_covered = 1; // seconds

template <std::size_t... Index>
std::array<decaying_count, sizeof...(Index)>
make_counts(double memory, std::index_sequence<Index...>)
{
    return {((void)Index, decaying_count(memory))...};
}

} // namespace

offered_load::offered_load(double memory)
    : memory(memory),
      work(make_counts(memory, std::make_index_sequence<priority_levels>()))
{
}

void offered_load::add(std::size_t level,
                       double hold_seconds,
                       base::instant now)
{
    if (!this->first_arrival)
        this->first_arrival = now;
    this->work.at(level).add(now, hold_seconds);
}

// The sums have not decayed from a steady state until a multiple of their
// memory has passed, so they are scaled by the time that they cover.
double offered_load::slots_through(std::size_t level, base::instant now) const
{
    if (!this->first_arrival)
        return 0;
    double slots = 0;
    for (std::size_t each = 0; each <= level; ++each)
        slots += this->work.at(each).per_second(now);
    const double age = std::max(
        least_covered, placement::seconds_of(now - *this->first_arrival));
    return slots / (1 - std::exp(-age / this->memory));
}

} // namespace greengagedrum::traffic
