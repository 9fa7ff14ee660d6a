// The order in which the entries of a data centre are given duties: those that
// are not congested first, then those with more processor share. The lowest
// address breaks ties.
#pragma once

#include <greengagedrum/gossip/message.hpp>

#include <cstdint>
#include <tuple>

namespace greengagedrum::gossip
{

struct duty_rank {
    bool congested = false;
    std::uint32_t cpu_millicores = 0;
    ipv4_address address = 0;

    bool is_before(const duty_rank& other) const
    {
        return std::tie(this->congested, other.cpu_millicores, this->address) <
               std::tie(other.congested, this->cpu_millicores, other.address);
    }
};

} // namespace greengagedrum::gossip
