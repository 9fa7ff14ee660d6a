// Compressed messages, as dispatchers send them to other regions. The first
// bytes of a datagram tell whether it is compressed: see is_compressed().
#include <greengagedrum/gossip/compression.hpp>
#include <greengagedrum/gossip/message.hpp>

#include <utility>

namespace greengagedrum::gossip
{

namespace
{

// A datagram holds at most 64 KiB, and a message compresses to about half. The
// bound keeps a malformed datagram from taking more memory than this.
constexpr std::size_t max_message_bytes = 1U << 20U;

// Shorter messages hold little but the sender's description of itself.
constexpr std::size_t compressed_from = 256;

} // namespace

std::string encode_compressed(const message& sent)
{
    std::string plain = encode(sent);
    if (plain.size() < compressed_from)
        return plain;
    std::string packed = compress(plain, {});
    return packed.empty() || packed.size() >= plain.size() ? plain : packed;
}

std::optional<message> decode_compressed_message(std::string_view bytes)
{
    const auto plain = decompress(bytes, {}, max_message_bytes);
    return plain && !is_compressed(*plain) ? decode_message(*plain)
                                           : std::nullopt;
}

} // namespace greengagedrum::gossip
