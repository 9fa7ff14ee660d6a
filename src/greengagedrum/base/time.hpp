// Points in time as the decision slices see them.
//
// Decisions never read a clock: the caller passes `now` in, so that tests,
// replays and model checks run in virtual time.
#pragma once

#include <chrono>

namespace greengagedrum::base
{

using duration = std::chrono::microseconds;

// Of `duration`, for sums in floating point.
inline constexpr double microseconds_per_second = 1e6;

// A clock without now(): its time points come from outside. Its epoch is the
// start of the process; it is not shared between processes.
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
