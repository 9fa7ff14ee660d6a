// Turns what entries say to each other into bytes and back.
//
// Pure: no socket, no clock. It neither signs nor frames (frame.hpp). Decoding
// trusts nothing: the buffer is verified before the first read, enumerators
// and counts are checked, and what a buffer unfolds to is bounded by its size.
#pragma once

#include <greengagedrum/peers/message.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagedrum::peers
{

// Longest encoded payload, in bytes: an answer of 4 MiB and its fields.
inline constexpr std::size_t payload_bytes_max = (4U << 20U) + (64U << 10U);

enum class decode_fault : std::uint8_t {
    malformed, // no sound buffer: the link is to be closed
    unknown    // sound, of a newer build: to be passed over
};

// Who sent it, as the link's handshake has proved.
struct sender_identity {
    base::slot_id slot;
    base::incarnation life;
    auto operator<=>(const sender_identity&) const = default;
};

// `sender` is the process that speaks; its own name is left out of heartbeats.
std::string encode(const payload& body, const sender_identity& sender);

// `bytes` begin where a string of their own would: at a multiple of eight.
tl::expected<payload, decode_fault> decode(std::string_view bytes,
                                           const sender_identity& sender);

} // namespace greengagedrum::peers
