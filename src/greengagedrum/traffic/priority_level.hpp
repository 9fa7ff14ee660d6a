// Priorities of queued requests, grouped into a fixed number of levels.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace greengagedrum::traffic
{

// Levels are priorities of workspaces times those of routes; the last one also
// holds all lower priorities. With four levels, all kinds of all workspaces but
// the most urgent shared one, and urgent requests were estimated to wait behind
// the least urgent kind.
inline constexpr std::size_t priority_levels = 12;

inline std::size_t level_of(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, priority_levels - 1);
}

} // namespace greengagedrum::traffic
