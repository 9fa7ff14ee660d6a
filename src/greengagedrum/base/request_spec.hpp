// The attributes of a request that decision code depends on: its size, urgency
// and rules, without its body.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/repetition.hpp>
#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::base
{

struct request_spec {
    workspace_id workspace;
    kind_id kind;
    upstream_class_id upstream_class;
    model_id model; // empty for a plain service
    base::tier tier = base::tier::standard;
    base::repetition repetition = base::repetition::at_most_once;
    bool preemptible = false;
    bool allow_other_data_centres = false;
    std::uint32_t prompt_tokens = 0; // one for four bytes, rounded up
    std::uint32_t output_tokens = 0; // maximum number of generated tokens
    std::uint64_t prefix_hash = 0;   // xxHash64 of the first 1,024 B
    instant arrived;
    instant deadline;
};

// Cost in tokens that counts against an engine's in-flight limit.
inline std::uint64_t tokens_of(const request_spec& item)
{
    return std::uint64_t{item.prompt_tokens} + item.output_tokens;
}

} // namespace greengagedrum::base
