// Demand on one limit, and what was admitted of it, by priority. Beyond its
// limit, a workspace's requests of higher priority go first; this class
// estimates how much they need.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/decaying_rate.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagedrum::quota
{

class priority_demand
{
public:
    // `cost` is in the unit of the limit; priority 0 is the highest.
    void on_requested(std::uint32_t priority, double cost, base::instant now);
    void on_admitted(std::uint32_t priority, double cost, base::instant now);

    // Recent demand, as cost a second.
    double total_rate(base::instant now) const;
    double higher_priority_rate(std::uint32_t priority,
                                base::instant now) const;

    // Average cost of a recent request of a higher priority; 0 if there is
    // none.
    double higher_priority_cost(std::uint32_t priority,
                                base::instant now) const;

    // True if much less of this priority's demand was admitted than of all
    // demand.
    bool is_starved(std::uint32_t priority, base::instant now) const;

private:
    // Lower priorities share the last level.
    static constexpr std::size_t max_levels = 12;

    struct demand_level {
        decaying_rate requests;
        decaying_rate requested;
        decaying_rate admitted;
    };

    static std::size_t level_of(std::uint32_t priority);

    std::array<demand_level, max_levels> levels;
};

} // namespace greengagedrum::quota
