// When each request of a load arrives, drawn before the run begins.
#pragma once

#include <load/plan.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace load
{

// One request to come.
struct arrival {
    std::uint64_t number = 0;        // 0, 1, ... in order of time
    std::chrono::microseconds at{0}; // since the start of the run
    std::size_t sort = 0;            // index into plan.classes
    std::uint32_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t prefix = 0; // which of its class's prompt beginnings
    std::uint64_t draw = 0;   // for the choice of the entry and for the key

    bool operator==(const arrival&) const = default;
};

// A pure function of the plan: a Poisson process per class, with the bursts
// in its rate, merged by time and cut at max_requests. Each class has a
// generator of its own, so a change to one's lengths leaves the others alone.
std::vector<arrival> make_schedule(const plan& planned);

} // namespace load
