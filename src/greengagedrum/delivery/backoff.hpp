// Exponential backoff with jitter between two attempts.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::delivery
{

// The step doubles from `initial` up to `maximum`.
struct backoff_range {
    base::duration initial{20'000};
    base::duration maximum{1'000'000};
};

// The wait before attempt number `attempt`, counted from 1. `random` is uniform
// in [0, 1). The wait lies between half of the step and the whole step: the
// lower bound keeps an attempt apart from the failure that caused it, and the
// jitter keeps the attempts of different requests apart.
base::duration
backoff(const backoff_range& range, std::uint32_t attempt, double random);

} // namespace greengagedrum::delivery
