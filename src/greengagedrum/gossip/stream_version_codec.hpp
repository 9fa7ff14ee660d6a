// Encodes what entries tell each other of the versions of streams.
//
// The bytes are those of a gossip message of a kind of its own, addressed so
// that entries of earlier builds drop them.
#pragma once

#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::gossip
{

// About 1 kB, so that a datagram fits a packet.
inline constexpr std::size_t max_stream_records = 64;

struct stream_version_message {
    ipv4_address sender = 0;
    versions::message content;
};

// Records beyond `max_stream_records` are left out.
std::string encode(const stream_version_message& sent, ipv4_address recipient);

// Whether the bytes look like such a message.
bool is_stream_version_message(std::string_view bytes);

// Empty if the bytes are not a valid message.
std::optional<stream_version_message>
decode_stream_version_message(std::string_view bytes);

} // namespace greengagedrum::gossip
