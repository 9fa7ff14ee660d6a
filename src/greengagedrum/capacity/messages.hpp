// Messages in which entries report their load on upstreams to each other.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::capacity
{

// One entry's own usage of one upstream.
struct upstream_usage {
    base::upstream_id upstream;
    std::uint32_t in_flight = 0;
    std::uint32_t tokens_in_flight = 0; // prompt and expected output
    bool overdraft = false;             // urgent requests beyond the share
};

// One entry's demand for a class of upstreams, by tier.
struct class_demand {
    base::upstream_class_id upstream_class;
    std::uint32_t waiting[4] = {0, 0, 0, 0}; // requests, by tier
    std::uint32_t running[4] = {0, 0, 0, 0};
};

// One entry's usage of a workspace's limit.
struct limit_usage {
    base::workspace_id workspace;
    base::kind_id kind;
    std::uint32_t in_flight = 0;
    std::uint32_t tokens_per_second = 0;
};

// Sent with each heartbeat; holds only the items that changed since the
// previous digest unless `complete`.
struct load_digest {
    std::uint64_t sequence = 0;
    bool complete = false; // replaces all earlier digests
    std::vector<upstream_usage> uses;
    std::vector<class_demand> demands;
    std::vector<limit_usage> limits;
};

} // namespace greengagedrum::capacity
