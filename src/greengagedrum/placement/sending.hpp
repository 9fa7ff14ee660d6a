// One dispatch of this instance under way on an upstream.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>

#include <cstdint>

namespace greengagedrum::placement
{

struct sending {
    base::upstream_id upstream;
    base::request_spec item;
    base::instant since;
    double ahead = 0;               // prompt tokens before it there, when sent
    double first_token_time = 0;    // seconds, estimated when sent
    double expected_prompt = 0;     // tokens to prefill, less what was cached
    std::uint32_t tokens = 0;       // seen so far
    std::uint32_t largest_step = 1; // tokens that came together
    base::instant last;             // when the newest of them came
    bool hinted = false;            // its prefix was thought to be cached
};

} // namespace greengagedrum::placement
