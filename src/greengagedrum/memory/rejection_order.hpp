// Which request gives way first where memory is short: the least urgent, and
// among equally urgent ones the largest. A higher tier never goes before a
// lower one, whatever its size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagedrum::memory
{

struct rejectable {
    std::uint32_t priority = 0; // lower is more urgent
    std::uint64_t bytes = 0;
};

// The indices of those that hold more than `least`, the first to reject first.
std::vector<std::size_t> rejection_order(std::span<const rejectable> from,
                                         std::uint64_t least);

} // namespace greengagedrum::memory
