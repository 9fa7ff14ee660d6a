// The upstreams of one service during one pass over its queue.
//
// The pass looks at each upstream once. Each queued request is then rated
// against the upstreams with a free slot only, so that a long queue before many
// full upstreams costs little.
#pragma once

#include <greengagedrum/traffic/upstream_state.hpp>

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace greengagedrum::traffic
{

struct dispatch_pass {
    struct open_member {
        std::size_t index = 0; // among the members of the service
        service_member member;
        std::uint32_t free_slots = 0;
    };

    base::instant now;
    const service_state* service = nullptr;
    // Those that a request may be sent to, by ascending index: healthy ones,
    // and suspected ones that are due for a probe.
    std::vector<open_member> open;
    // Other suspected ones, used only where there are no healthy ones.
    std::vector<open_member> suspected;
    std::vector<service_member> full; // in no particular order
    std::uint32_t healthy_free_slots = 0;
    std::size_t healthy_nearby = 0; // upstreams of the own data centre
    bool all_suspected = false;
    // The share of unreachable upstreams, where it isn't zero.
    std::vector<std::pair<base::data_centre_id, double>> unreachable_shares;
    // Index in `full` at which the next sample begins.
    std::size_t sample_begin = 0;
    std::uint64_t rated = 0; // upstreams, for all requests of the pass

    double unreachable_share(base::data_centre_id data_centre) const;
};

} // namespace greengagedrum::traffic
