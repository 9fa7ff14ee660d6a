// Textual form of 64-bit values and of text digests in answers, tickets and
// traces.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace greengagedrum::base
{

// 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);

// The xxHash64 (seed 0) of the text in hexadecimal.
std::string digest_of(std::string_view text);

} // namespace greengagedrum::base
