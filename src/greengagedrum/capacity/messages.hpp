// What entries tell each other about the load they put on upstreams.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::capacity
{

// One entry's own use of one upstream, and what waits at that entry for it.
struct upstream_usage {
    base::upstream_id upstream;
    std::uint32_t in_flight = 0;
    std::uint32_t tokens_in_flight = 0; // prompt and expected output
    bool overdraft = false;             // urgent work beyond the share
};

// One entry's demand for a class of upstreams, by tier.
struct class_demand {
    base::upstream_class_id upstream_class;
    std::uint32_t waiting[4] = {0, 0, 0, 0}; // requests, by tier
    std::uint32_t running[4] = {0, 0, 0, 0};
};

// One entry's use of a workspace's limit.
struct limit_usage {
    base::workspace_id workspace;
    base::kind_id kind;
    std::uint32_t in_flight = 0;
    std::uint32_t tokens_per_second = 0;
};

// Sent with each heartbeat; only the entries that changed since the last one.
struct load_digest {
    std::uint64_t sequence = 0;
    bool complete = false; // true: replaces all that was told before
    std::vector<upstream_usage> uses;
    std::vector<class_demand> demands;
    std::vector<limit_usage> limits;
};

} // namespace greengagedrum::capacity
