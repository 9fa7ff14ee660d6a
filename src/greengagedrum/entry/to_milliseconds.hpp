// Durations as numbers for log lines.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::entry
{

inline double to_milliseconds(base::duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

} // namespace greengagedrum::entry
