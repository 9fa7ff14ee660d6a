// The delay after which a refused caller is told to come back.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <algorithm>

namespace greengagedrum::base
{

// `needed`: until it can be served, as far as is known. By the protocol a
// caller waits at most a third of the time that it has left; the rest is for
// the next try.
inline duration retry_after(duration needed, duration time_left)
{
    constexpr int parts = 3;
    return std::clamp(
        time_left / parts, duration(0), std::max(needed, duration(0)));
}

} // namespace greengagedrum::base
