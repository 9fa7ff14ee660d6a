// The wait before try number `attempt` (from 1): exponential with full jitter.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::delivery
{

struct backoff_range {
    base::duration initial{20'000};
    base::duration maximum{1'000'000};
};

// `random` is uniform in [0, 1). The wait lies in [half, whole] of the step, so
// that two tries never coincide with their cause, nor all with each other.
base::duration
backoff(const backoff_range& range, std::uint32_t attempt, double random);

} // namespace greengagedrum::delivery
