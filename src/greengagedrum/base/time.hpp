// Time types of the decision code.
//
// Decision code never reads a clock. The caller passes `now` in, so that tests,
// replays and model checks run in virtual time.
#pragma once

#include <chrono>

namespace greengagedrum::base
{

using duration = std::chrono::microseconds;

// Converts `duration` ticks in floating-point arithmetic.
inline constexpr double microseconds_per_second = 1e6;

// A clock without now(): its time points are passed in. The epoch is the start
// of the process and is not shared between processes.
struct core_clock {
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using instant = core_clock::time_point;

using namespace std::chrono_literals;

} // namespace greengagedrum::base
