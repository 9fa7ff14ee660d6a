#include <greengagedrum/capacity/split.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace greengagedrum::capacity
{

namespace
{

// Index of the entry with the smallest share among those that `eligible`
// accepts; ties are broken by rank. The number of entries when there is none.
template <class Eligible>
std::size_t find_least(std::span<const std::uint32_t> shares,
                       std::span<const std::uint64_t> ranks,
                       const Eligible& eligible)
{
    std::size_t best = shares.size();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (!eligible(i))
            continue;
        const bool better =
            best == shares.size() || shares[i] < shares[best] ||
            (shares[i] == shares[best] && ranks[i] < ranks[best]);
        if (better)
            best = i;
    }
    return best;
}

std::vector<std::uint64_t> ranks_of(std::span<const entry_demand> entries,
                                    std::uint64_t salt)
{
    std::vector<std::uint64_t> out;
    for (const entry_demand& entry : entries)
        out.push_back(XXH64(&entry.slot.value, sizeof(entry.slot.value), salt));
    return out;
}

} // namespace

std::vector<std::uint32_t> split(std::uint32_t limit,
                                 std::span<const entry_demand> entries,
                                 std::uint64_t salt)
{
    std::vector<std::uint32_t> shares(entries.size(), 0);
    if (entries.empty())
        return shares;
    const std::vector<std::uint64_t> ranks = ranks_of(entries, salt);
    std::uint32_t remaining = limit;
    if (limit >= entries.size()) {
        std::fill(shares.begin(), shares.end(), 1);
        remaining -= static_cast<std::uint32_t>(entries.size());
    }
    for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
        const auto wants_more = [&](std::size_t i) {
            return shares[i] < entries[i].cumulative[tier];
        };
        while (remaining > 0) {
            const std::size_t next = find_least(shares, ranks, wants_more);
            if (next == entries.size())
                break;
            shares[next] += 1;
            remaining -= 1;
        }
    }
    while (remaining > 0) {
        shares[find_least(shares, ranks, [](std::size_t) { return true; })] +=
            1;
        remaining -= 1;
    }
    return shares;
}

} // namespace greengagedrum::capacity
