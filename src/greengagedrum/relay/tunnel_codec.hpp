// What an entry asks a peer before it sends a request through it, and what the
// peer replies. Afterwards the connection carries plain bytes.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::relay
{

// Asks for a connection to an upstream.
struct tunnel_request {
    base::upstream_id upstream;
    std::string request;  // id of the caller's request, for the log
    std::string instance; // that asks
};

enum class tunnel_verdict : std::uint8_t {
    rejected,    // not tried: the peer stops, is full or has no path itself
    unreachable, // its connect failed
    connected,
};

std::string_view to_string(tunnel_verdict value);

std::string encode(const tunnel_request& sent);
std::string encode(tunnel_verdict sent);

// Longest frame, its length included.
inline constexpr std::size_t tunnel_frame_most = 1024; // bytes

// Size of the frame that begins with these bytes, its length included; empty
// while the length has not been received. A frame over the longest size is
// invalid.
std::optional<std::size_t> tunnel_frame_size(std::string_view bytes);

// Empty if the frame is invalid.
std::optional<tunnel_request> decode_tunnel_request(std::string_view frame);
std::optional<tunnel_verdict> decode_tunnel_verdict(std::string_view frame);

} // namespace greengagedrum::relay
