// Estimates are doubles in seconds; the rest of the core counts durations.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

inline double seconds_of(base::duration value)
{
    constexpr double tick = 1e-6; // base::duration counts microseconds
    return static_cast<double>(value.count()) * tick;
}

// At most a day, so that no estimate overflows.
inline base::duration duration_of(double seconds)
{
    constexpr double bound = 86'400;
    constexpr double ticks = 1e6;
    return base::duration(static_cast<base::duration::rep>(
        std::clamp(seconds, 0.0, bound) * ticks));
}

// How much a fact of `at` still counts: 1 when fresh, 0 past the horizon.
inline double
freshness(base::instant at, base::instant now, base::duration horizon)
{
    if (now - at >= horizon)
        return 0;
    const double age = seconds_of(now - at) / seconds_of(horizon);
    return std::min(1 - age, 1.0);
}

} // namespace greengagedrum::placement
