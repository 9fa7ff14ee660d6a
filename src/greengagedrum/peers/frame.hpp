// Frames of a link and how they are authenticated.
//
// A link begins with one plain `hello` from each end: who speaks, which life,
// and a fresh nonce. From the shared key, both hellos and the direction, each
// end derives the key of that direction; every frame is then
//
//     u32 length | 16 bytes MAC | u8 kind | u16 interval | bytes
//
// (little-endian; `length` counts what follows it). The MAC is HMAC-SHA256,
// truncated, over the frame's number in that direction and all after the MAC.
// So a frame can't be replayed, reordered, reflected or moved to another link,
// and its sender and incarnation are proved without being repeated in it.
// Nothing is encrypted. Pure: no socket, no clock, nonces are passed in.
#pragma once

#include <greengagedrum/peers/codec.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::peers
{

inline constexpr unsigned byte_bits = 8;

inline constexpr std::size_t nonce_bytes = 16;
inline constexpr std::size_t mac_bytes = 16;
inline constexpr std::size_t key_bytes = 32;

using link_nonce = std::array<char, nonce_bytes>;
using link_key = std::array<char, key_bytes>;

// The first bytes of each end.
struct hello {
    sender_identity sender;
    link_nonce nonce{};
};

inline constexpr std::size_t hello_bytes = 40;

std::string encode_hello(const hello& from);

// None when the bytes are no hello of this protocol's version.
std::optional<hello> decode_hello(std::string_view bytes);

enum class frame_kind : std::uint8_t {
    proof,   // the first frame: the sender knows the key
    control, // a whole payload that goes before all else: the heartbeat
    part,    // a piece of a payload, more of it follows
    last     // the last (or only) piece of a payload
};

// A heartbeat must not wait behind megabytes, so a payload goes in pieces.
inline constexpr std::size_t piece_bytes_max = std::size_t{16} * 1024;
inline constexpr std::size_t frame_overhead = 4 + mac_bytes + 1 + 2;

struct frame {
    frame_kind kind = frame_kind::control;
    // In milliseconds: the receiver will hear again within it. Zero: unsaid.
    std::uint16_t interval = 0;
    std::string_view bytes;
};

// The key of what the end that dialled says (or the one that accepted).
link_key derive_key(std::string_view shared_key,
                    const hello& dialler,
                    const hello& acceptor,
                    bool from_dialler);

// Numbers and signs the frames of one direction.
class frame_sealer
{
public:
    explicit frame_sealer(const link_key& signing) : key(signing) {}

    void append(const frame& what, std::string& out);

private:
    link_key key;
    std::uint64_t sequence = 0;
};

enum class open_fault : std::uint8_t { too_long, too_short, bad_mac, bad_kind };

// Checks the frames of one direction. Until the first good frame either of two
// keys will do (while operators change the key), then that one only.
class frame_opener
{
public:
    frame_opener(const link_key& current,
                 const std::optional<link_key>& second);

    // Takes one frame off the front of `bytes`; `used` is its size, or zero
    // while more bytes are needed. The result views `bytes`.
    tl::expected<std::optional<frame>, open_fault> take(std::string_view bytes,
                                                        std::size_t& used);

private:
    bool authentic(std::string_view mac, std::string_view body);

    link_key key;
    std::optional<link_key> other;
    std::uint64_t sequence = 0;
};

} // namespace greengagedrum::peers
