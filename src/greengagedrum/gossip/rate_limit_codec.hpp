// Encodes the rate limits that upstreams announce into gossip messages.
#pragma once

#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/traffic/announced_limits.hpp>

#include <span>
#include <vector>

namespace greengagedrum::gossip
{

using rate_limit_offset =
    flatbuffers::Offset<flatbuffers::Vector<const wire::RateLimit*>>;

// A null offset if the list is empty.
rate_limit_offset
write_rate_limits(flatbuffers::FlatBufferBuilder& builder,
                  std::span<const traffic::announced_limit> sent);

// Without those whose rate is not a number of 0 or more.
std::vector<traffic::announced_limit>
read_rate_limits(const wire::Message& from);

} // namespace greengagedrum::gossip
