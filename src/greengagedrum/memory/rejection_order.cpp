#include <greengagedrum/memory/rejection_order.hpp>

#include <tuple>

namespace greengagedrum::memory
{

std::optional<std::size_t> first_to_reject(std::span<const rejectable> from,
                                           std::uint64_t least)
{
    std::optional<std::size_t> out;
    for (std::size_t at = 0; at < from.size(); ++at) {
        const rejectable& one = from[at];
        if (one.bytes <= least)
            continue;
        if (!out || std::tie(one.priority, one.bytes) >
                        std::tie(from[*out].priority, from[*out].bytes))
            out = at;
    }
    return out;
}

} // namespace greengagedrum::memory
