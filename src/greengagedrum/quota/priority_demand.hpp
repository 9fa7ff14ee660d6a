// What is asked of one limit and what is let through, by priority. Beyond its
// limit a workspace's more urgent requests go first, and this tells how much
// they need.
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
    // `cost` is in the limit's unit; priority 0 is the most urgent.
    void on_requested(std::uint32_t priority, double cost, base::instant now);
    void on_admitted(std::uint32_t priority, double cost, base::instant now);

    // Cost a second that is asked for lately.
    double total_rate(base::instant now) const;
    double higher_priority_rate(std::uint32_t priority,
                                base::instant now) const;

    // What one request of those more urgent costs on average; 0: none lately.
    double higher_priority_cost(std::uint32_t priority,
                                base::instant now) const;

    // Much less of it is let through than of all priorities together.
    bool is_starved(std::uint32_t priority, base::instant now) const;

private:
    // Less urgent ones count as the last.
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
