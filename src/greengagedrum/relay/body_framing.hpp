// How the end of an answer's body is found.
#pragma once

#include <cstdint>
#include <string_view>

namespace greengagedrum::relay
{

enum class body_framing : std::uint8_t {
    none, // there is no body, or its head has not been read
    length,
    chunked,
    until_close, // neither a length nor chunks
};

std::string_view to_string(body_framing value);

} // namespace greengagedrum::relay
