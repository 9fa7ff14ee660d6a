// What is asked of one limit and what is let through, by priority. Beyond its
// limit a workspace's more urgent requests go first, and this tells how much
// they need.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/fading_rate.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagedrum::quota
{

class priority_demand
{
public:
    // `cost` is in the limit's unit; priority 0 is the most urgent.
    void asked(std::uint32_t priority, double cost, base::instant now);
    void let_through(std::uint32_t priority, double cost, base::instant now);

    // Cost a second that is asked for lately.
    double all(base::instant now) const;
    double more_urgent(std::uint32_t priority, base::instant now) const;

    // What one request of those more urgent costs on average; 0: none lately.
    double urgent_cost(std::uint32_t priority, base::instant now) const;

    // Much less of it is let through than of all priorities together.
    bool starved(std::uint32_t priority, base::instant now) const;

private:
    // Less urgent ones count as the last.
    static constexpr std::size_t levels_max = 12;

    struct level {
        fading_rate requests;
        fading_rate asked;
        fading_rate let;
    };

    static std::size_t level_of(std::uint32_t priority);

    std::array<level, levels_max> levels;
};

} // namespace greengagedrum::quota
