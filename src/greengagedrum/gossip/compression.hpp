// Compression of bytes that an entry sends to another one, with zstd.
//
// Both sides may hold a text that is largely the same as the bytes. With it as
// the reference, the compressed bytes hold little more than the differences.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::gossip
{

std::string compress(std::string_view bytes, std::string_view reference);

// Whether the bytes begin like the result of compress(). A FlatBuffers message
// never does: its first four bytes are an offset within the message.
bool is_compressed(std::string_view bytes);

// Empty if the bytes are malformed, were compressed with another reference, or
// hold more than `max_bytes`.
std::optional<std::string> decompress(std::string_view bytes,
                                      std::string_view reference,
                                      std::size_t max_bytes);

} // namespace greengagedrum::gossip
