// How upstreams are chosen, and the bounds of it.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::placement
{

// All but `scheduler` are baselines: what a plain proxy would do. They bound
// nothing per upstream (but see `baseline_in_flight_max`), so nothing waits
// and requests leave in the order of their arrival; they know no stragglers.
enum class policy_choice : std::uint8_t {
    scheduler,        // least estimated finish, prefix affinity, probes
    round_robin,      // the next one in turn
    least_reported,   // least running + waiting in the newest reports
    least_outstanding // fewest of this instance's own in flight
};

struct options {
    policy_choice policy = policy_choice::scheduler;
    base::slot_id slot;     // own; instances break ties apart by it
    std::uint64_t seed = 1; // of the ties
    // Requests at once that a baseline sends to one upstream; 0: no bound.
    std::uint32_t baseline_in_flight_max = 0;
    // The least silence that counts as a failure.
    base::duration patience_floor = std::chrono::seconds(2);
};

} // namespace greengagedrum::placement
