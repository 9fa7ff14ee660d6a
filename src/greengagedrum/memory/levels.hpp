// The sizes that the memory of a process allows to its account.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <chrono>
#include <cstdint>

namespace greengagedrum::memory
{

// A body of which no byte comes for so long gives its room to one that waits.
inline constexpr base::duration room_renewed_after = std::chrono::seconds(1);

// All in bytes.
struct levels {
    std::uint64_t capacity = 0;
    std::uint64_t stop_reading = 0; // no further bodies are read
    std::uint64_t reject = 0;       // requests that have not run are rejected
    std::uint64_t end_response = 0; // a response is ended deliberately
    std::uint64_t connection_share = 0;
    std::uint64_t workspace_share = 0;
    // Rejecting a body of this size frees next to nothing, so such bodies are
    // read up to the last level.
    std::uint64_t small_body = 0;
};

// `process_bytes`: what the process may use in all.
levels levels_of(std::uint64_t process_bytes);

} // namespace greengagedrum::memory
