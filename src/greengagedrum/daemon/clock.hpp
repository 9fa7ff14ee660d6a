// The process's monotonic clock as the core's instants.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <chrono>

namespace greengagedrum::daemon
{

inline base::instant clock_now()
{
    static const auto start = std::chrono::steady_clock::now();
    return base::instant(std::chrono::duration_cast<base::duration>(
        std::chrono::steady_clock::now() - start));
}

} // namespace greengagedrum::daemon
