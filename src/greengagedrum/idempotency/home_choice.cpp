#include <greengagedrum/idempotency/home_choice.hpp>

#include <xxhash.h>

namespace greengagedrum::idempotency
{

std::optional<base::slot_id> choose_home(const caller_key& key,
                                         std::span<const base::slot_id> slots)
{
    const std::uint64_t seed =
        XXH64(key.key.data(), key.key.size(), key.workspace.value);
    std::optional<base::slot_id> best;
    std::uint64_t best_weight = 0;
    for (const base::slot_id slot : slots) {
        const std::uint64_t weight =
            XXH64(&slot.value, sizeof(slot.value), seed);
        const bool better = !best || weight > best_weight ||
                            (weight == best_weight && slot < *best);
        if (!better)
            continue;
        best = slot;
        best_weight = weight;
    }
    return best;
}

} // namespace greengagedrum::idempotency
