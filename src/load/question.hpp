// One request as its caller sees it.
#pragma once

#include <load/plan.hpp>
#include <load/schedule.hpp>

#include <string>
#include <string_view>

namespace load
{

// What is asked. `tag` is unique among all runs against the same upstreams,
// because it begins with the name of the run.
struct question {
    const traffic_class* sort = nullptr; // of the plan, which outlives it
    std::string tag;
    std::string prompt; // ends with " [tag:TAG]", so that prefixes are shared
    std::string key;    // Idempotency-Key: a UUIDv7
    std::uint32_t max_tokens = 0;
};

// `unix_ms` is the time the key is issued at.
question make_question(const plan& planned,
                       const arrival& coming,
                       std::string_view run,
                       std::uint64_t unix_ms);

// The JSON body of the request.
std::string body_of(const question& asked);

// A UUID of version 7: 48 bits of Unix time in ms, then `random`.
std::string make_uuid7(std::uint64_t unix_ms, std::uint64_t random);

} // namespace load
