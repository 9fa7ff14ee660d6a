// What of this entry's load peers have not been told yet.
//
// It is given the whole load each time and makes the digest that goes out:
// only what changed, or all of it every few times, so that a peer that missed
// one (its queue was full, its link was made later) is right again soon.
#pragma once

#include <greengagedrum/capacity/messages.hpp>

#include <cstdint>
#include <optional>

namespace greengagedrum::peers
{

class load_delta
{
public:
    // `all` is the whole load now; what is no longer in it counts as zero.
    // None when nothing has changed and no whole digest is due.
    std::optional<capacity::load_digest> next(const capacity::load_digest& all);

    // For a peer that has just been linked: all, under the last number.
    capacity::load_digest whole() const;

private:
    static constexpr std::uint32_t whole_every = 10;

    capacity::load_digest told;
    std::uint64_t sequence = 0;
    std::uint32_t turn = 0;
};

} // namespace greengagedrum::peers
