// The delay after which a refused caller is told to come back.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <algorithm>

namespace greengagedrum::base
{

// By the protocol a caller waits at most a third of the time that it has left
// before it tries again; the rest is for the next try.
inline duration longest_retry_wait(duration time_left)
{
    constexpr int parts = 3;
    return time_left / parts;
}

// `needed`: until it can be served, as far as is known.
inline duration retry_after(duration needed, duration time_left)
{
    return std::clamp(longest_retry_wait(time_left),
                      duration(0),
                      std::max(needed, duration(0)));
}

} // namespace greengagedrum::base
