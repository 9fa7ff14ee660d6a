#include <greengagedrum/memory/rejection_order.hpp>

#include <algorithm>
#include <tuple>

namespace greengagedrum::memory
{

std::vector<std::size_t> rejection_order(std::span<const rejectable> from,
                                         std::uint64_t least)
{
    std::vector<std::size_t> out;
    for (std::size_t at = 0; at < from.size(); ++at) {
        if (from[at].bytes > least)
            out.push_back(at);
    }
    std::sort(out.begin(), out.end(), [&](std::size_t left, std::size_t right) {
        return std::tie(from[left].priority, from[left].bytes) >
               std::tie(from[right].priority, from[right].bytes);
    });
    return out;
}

} // namespace greengagedrum::memory
