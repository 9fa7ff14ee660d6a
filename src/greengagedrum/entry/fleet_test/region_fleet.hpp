// Fleets in two regions with limited workspaces, and what is printed of a run.
#pragma once

#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

using namespace std::chrono_literals;

constexpr std::size_t upstreams = 66;

inline fleet_plan two_regions(std::size_t entries)
{
    fleet_plan out;
    out.entries = entries;
    out.data_centres = 6;
    out.regions = 2;
    return out;
}

inline fleet_result run_plan(const std::string& what, const fleet_plan& plan)
{
    const fleet_result got = limited_fleet(plan).run();
    MESSAGE(plan.entries,
            " entries, ",
            what,
            ": refused ",
            got.refused,
            " of ",
            got.asked,
            ", unanswered ",
            got.unanswered,
            ", admitted ",
            got.admitted_share,
            " of the limit, window ",
            got.peak_window_share,
            " at ",
            got.peak_at,
            " s, kB between regions ",
            got.bytes_across_regions / 1000,
            ", changes ",
            got.dispatcher_changes);
    return got;
}

} // namespace greengagedrum::entry::fleet_test
