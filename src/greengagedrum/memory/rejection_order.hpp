// Which request gives way first where memory is short: the least urgent, and
// among equally urgent ones the largest. A higher tier never goes before a
// lower one, whatever its size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace greengagedrum::memory
{

struct rejectable {
    std::uint32_t priority = 0; // lower is more urgent
    std::uint64_t bytes = 0;
};

// The index of the one to reject; none if no one holds more than `least`.
std::optional<std::size_t> first_to_reject(std::span<const rejectable> from,
                                           std::uint64_t least);

} // namespace greengagedrum::memory
