// Encodes the requests suspected of crashing upstreams into gossip messages.
#pragma once

#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/quarantine/messages.hpp>

#include <span>
#include <vector>

namespace greengagedrum::gossip
{

struct suspect_offsets {
    flatbuffers::Offset<flatbuffers::Vector<const wire::Suspect*>> suspects;
    flatbuffers::Offset<flatbuffers::Vector<const wire::Crash*>> crashes;
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> kinds;
};

// Null offsets if the list is empty.
suspect_offsets
write_suspects(flatbuffers::FlatBufferBuilder& builder,
               std::span<const quarantine::suspect_report> sent);

std::vector<quarantine::suspect_report>
read_suspects(const wire::Message& from);

wire::SuspectsWanted wire_query_of(const quarantine::suspect_query& sent);
quarantine::suspect_query suspect_query_of(const wire::SuspectsWanted& from);

wire::SuspectPage wire_page_of(const quarantine::suspect_page& sent);
quarantine::suspect_page suspect_page_of(const wire::SuspectPage& from);

} // namespace greengagedrum::gossip
