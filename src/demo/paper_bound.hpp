// What one scheduler that knew everything could give, worked out on paper from
// the engines' speeds, for comparison with a measured run.
//
// A fluid model: the whole fleet is one server whose speed for a request is
// the sum of all engines' speeds for it with full batches, whatever models
// they hold; a request goes at most as fast as it would alone on the fastest
// engine. Higher tiers come first, within a tier the order of arrival; what
// can't end by its deadline any more is dropped without cost. Nothing is lost
// to faults but the speed of a slowed engine. No prompt is found in a cache.
// For urgent work, far below what the fleet can do, it is an upper bound (but
// for caches); for lower tiers, whose order of arrival needn't be the best, an
// estimate.
#pragma once

#include <greengagedrum/base/tier.hpp>
#include <standin/document_folder.hpp>

#include <demo/experiment.hpp>

#include <array>
#include <cstdint>
#include <span>

namespace demo
{

struct paper_result {
    std::array<std::uint64_t, greengagedrum::base::tier_count> offered{};
    std::array<std::uint64_t, greengagedrum::base::tier_count> good{};

    // Work of all arrivals before the first burst, as part of what the fleet
    // could do in that time.
    double load = 0;
};

paper_result paper_bound(const experiment& wanted,
                         std::span<const standin::named_document> documents);

} // namespace demo
