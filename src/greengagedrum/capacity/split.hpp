// Splits the slots of one upstream among the entries that demand them.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/tier.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagedrum::capacity
{

// The demand of one entry; each tier's figure includes the tiers above it.
struct entry_demand {
    base::slot_id slot;
    std::array<std::uint32_t, base::tier_count> cumulative{};
};

// Returns the shares in the order of `entries`. They sum to `limit` and depend
// only on the arguments, so that entries with equal views compute equal shares.
//
// If there are enough slots, every entry gets one, so that it can serve a
// request without waiting for a peer. The remaining slots are assigned tier by
// tier, each to the entry with the smallest share whose demand is not met.
// Slots that no entry demands are distributed evenly. Ties are broken by a
// rendezvous hash of the entry's slot id and `salt`, so that the entry left
// without a slot differs between upstreams.
std::vector<std::uint32_t> split(std::uint32_t limit,
                                 std::span<const entry_demand> entries,
                                 std::uint64_t salt);

} // namespace greengagedrum::capacity
