// Which response is ended where memory has run out: the one that has held the
// most unread bytes for the longest time, by the product of both.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace greengagedrum::memory
{

struct unread_response {
    std::uint64_t bytes = 0;
    base::duration stalled{0}; // since its caller last took a byte
};

// The index of the one to end; none if no one has stalled for `least`.
std::optional<std::size_t> first_to_end(std::span<const unread_response> from,
                                        base::duration least);

} // namespace greengagedrum::memory
