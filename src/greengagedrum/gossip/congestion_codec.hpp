// The congestion of entries in gossip messages, as bytes.
#pragma once

#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/gossip/message.hpp>

namespace greengagedrum::gossip
{

// Null if none of the known entries is congested.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
write_known_congestion(flatbuffers::FlatBufferBuilder& builder,
                       const message& sent);

// Reads the sender's congestion and link, and the congestion of the known
// entries, which must have been read before.
void read_congestion(const wire::Message& from, message& out);

} // namespace greengagedrum::gossip
