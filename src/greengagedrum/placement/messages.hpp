// What engines publish about themselves, late and with gaps.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::placement
{

// An engine's own report of its load; `age` is how old it was when read.
struct load_report {
    base::upstream_id upstream;
    base::duration age{0};
    std::uint32_t running = 0;          // streams being decoded or prefilled
    std::uint32_t waiting = 0;          // admitted, not started
    std::uint64_t prefill_tokens = 0;   // prompt tokens still to be prefilled
    std::vector<base::model_id> models; // held now
};

// A prefix that entered or left an engine's cache. A hint that ages.
struct cache_event {
    base::upstream_id upstream;
    std::uint64_t sequence = 0; // gaps mean lost events
    std::uint64_t prefix_hash = 0;
    bool stored = true; // false: evicted
};

} // namespace greengagedrum::placement
