// Splits the places of one upstream among the entries that want them.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/tier.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagedrum::capacity
{

// What one entry wants, by tier; each figure includes the tiers above it.
struct entry_demand {
    base::slot_id slot;
    std::array<std::uint32_t, base::tier_count> cumulative{};
};

// The shares, in the order of `entries`. They sum to `limit`, and depend on
// nothing but the arguments, so that entries with equal views agree.
//
// Every entry has one place when there are enough, so that a request that
// arrives there needs no word from a peer first. The rest goes tier by tier to
// whoever has least and wants more; what nobody wants is dealt out evenly.
// Ties fall by rendezvous hash of the slot and `salt`, so that the entry
// without a place differs from upstream to upstream.
std::vector<std::uint32_t> split(std::uint32_t limit,
                                 std::span<const entry_demand> entries,
                                 std::uint64_t salt);

} // namespace greengagedrum::capacity
