// Bearer tokens, known only by their SHA-256.
#pragma once

#include <greengagedrum/config/snapshot.hpp>

#include <string_view>

namespace greengagedrum::callers
{

config::sha256_digest sha256(std::string_view text);

// True when `header` is "Bearer TOKEN" with a token of this digest. Compares
// in constant time: the time must not tell how much of a digest was right.
bool token_matches(std::string_view header,
                   const config::sha256_digest& expected);

} // namespace greengagedrum::callers
