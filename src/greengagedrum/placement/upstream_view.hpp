// What status pages show of one upstream of the own data centre.
#pragma once

#include <greengagedrum/placement/straggler_watch.hpp>

#include <cstdint>
#include <string>

namespace greengagedrum::placement
{

struct upstream_view {
    std::string name;
    bool listed = false;         // live in the newest instance list
    std::uint32_t in_flight = 0; // requests of this instance, now
    std::uint32_t allowance = 0; // how many it may have there at once
    double others = 0;           // requests of all others, estimated
    suspicion suspected = suspicion::none;
};

} // namespace greengagedrum::placement
