// Decides which prompt parts explain a set of upstream crashes.
//
// Each crash has several suspects: all parts of the requests that it could have
// been. The part that is a suspect of most crashes explains them all, and is
// blamed; what is left is explained by the next one. So a sound part that was
// there at two crashes by chance is not blamed once another part explains both.
// Where several parts with fewer crashes would explain them as well, none of
// them can be ruled out yet.
#pragma once

#include <greengagedrum/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace greengagedrum::quarantine
{

// A part and the crashed upstreams of which it is a suspect.
struct blame_candidate {
    std::vector<base::upstream_id> crashes;
    // Least number of crashes, not explained by others, at which it is blamed.
    std::size_t threshold = 0;
};

enum class blame : std::uint8_t {
    open,      // too few crashes to tell
    explained, // all of its crashes are explained by others
    ambiguous, // other parts could explain the same crashes
    sole,      // the only explanation of some of its crashes
};

// The result for each candidate, in their order.
std::vector<blame> assign_blame(std::span<const blame_candidate> candidates);

// For each candidate, how many of its crashes could not be explained by another
// one that has enough crashes to be blamed.
std::vector<std::size_t>
count_own_crashes(std::span<const blame_candidate> candidates);

} // namespace greengagedrum::quarantine
