// What came back for one try of a request.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace load
{

// How a try (or a whole request) ended for its caller.
enum class ending : std::uint8_t {
    answered,     // verdict `answered`; the checks are another matter
    not_run,      // verdict `not_run`, worth coming back
    may_have_run, // verdict `may_have_run`
    refused,      // 400 to 499: the request itself was at fault
    unreachable,  // no connection: no byte of it was sent
    lost,         // sent, but the connection broke or fell silent
};

inline constexpr std::size_t ending_count = 6;

// What is wrong with an answer: broken promises, each counted by itself.
enum class fault : std::uint8_t {
    not_whole,       // length, digest, index or number of tokens don't match
    not_own,         // the text is not the one this prompt gives
    verdict_unclear, // no verdict, two of them, or a contradiction
};

// One try's answer as read from its bytes, before it is judged.
struct answer {
    ending how = ending::lost;
    int status = 0; // 0: none came
    std::string reason;
    std::optional<std::chrono::milliseconds> retry_after;
    std::string ticket;
    std::string text; // of a plain service: its JSON
    std::uint64_t tokens = 0;
    std::vector<fault> faults;

    // Microseconds since the try was sent; stream answers only.
    std::optional<std::chrono::microseconds> first_token;
    std::vector<std::chrono::microseconds> between; // gaps between tokens
};

} // namespace load
