// The bytes of what entries tell each other of requests that crash upstreams,
// within a message.
#pragma once

#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/quarantine/messages.hpp>

#include <span>
#include <vector>

namespace greengagedrum::gossip
{

struct suspect_offsets {
    flatbuffers::Offset<flatbuffers::Vector<const wire::Suspect*>> requests;
    flatbuffers::Offset<flatbuffers::Vector<const wire::Crash*>> crashes;
};

// Null offsets where there is nothing to tell.
suspect_offsets
write_suspects(flatbuffers::FlatBufferBuilder& builder,
               std::span<const quarantine::suspect_report> told);

std::vector<quarantine::suspect_report>
read_suspects(const wire::Message& from);

} // namespace greengagedrum::gossip
