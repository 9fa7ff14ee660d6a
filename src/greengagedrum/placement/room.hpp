// What admission may know of one candidate for a request: how full it is.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>

namespace greengagedrum::placement
{

struct room {
    base::upstream_id upstream;
    std::uint32_t in_flight = 0; // requests of this instance, now
    std::uint32_t allowance = 0; // how many it may have there at once
    std::uint32_t limit = 0;     // the upstream's own, all instances together
};

} // namespace greengagedrum::placement
