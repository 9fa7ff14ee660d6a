// Encodes the rate limits that upstreams announce, and permits for such
// upstreams, into gossip messages.
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

flatbuffers::Offset<flatbuffers::Vector<const wire::LimitNeed*>>
write_limit_needs(flatbuffers::FlatBufferBuilder& builder,
                  std::span<const traffic::limit_need> sent);
std::vector<traffic::limit_need> read_limit_needs(const wire::Message& from);

// A null offset if there are no permits.
flatbuffers::Offset<wire::LimitGrant>
write_limit_grant(flatbuffers::FlatBufferBuilder& builder,
                  const traffic::limit_grant& sent);
// Its giver and number are those of the message.
traffic::limit_grant read_limit_grant(const wire::Message& from);

} // namespace greengagedrum::gossip
