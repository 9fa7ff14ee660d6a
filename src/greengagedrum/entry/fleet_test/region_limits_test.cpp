// Limits, and bytes between regions, of fleets that stand in two regions.
#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t upstreams = 66;

fleet_plan two_regions(std::size_t entries)
{
    fleet_plan out;
    out.entries = entries;
    out.data_centres = 6;
    out.regions = 2;
    return out;
}

fleet_result run_plan(const std::string& what, const fleet_plan& plan)
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

} // namespace

// Failure guarded against: load messages between regions, at the price of the
// link, cost more than what they improve.
TEST_CASE("two_regions_gossip_takes_a_fraction_of_the_bytes")
{
    const std::pair<std::size_t, std::uint64_t> least_ratios[] = {
        {12, 5}, {30, 10}, {67, 4}, {300, 4}};
    for (const auto& [entries, least_ratio] : least_ratios) {
        fleet_plan plan = two_regions(entries);
        plan.upstreams = upstreams;
        plan.requests = 300;
        plan.seconds = 12;
        const fleet_result after = run_plan("regions known", plan);
        plan.regions_in_settings = false;
        const fleet_result before = run_plan("regions unknown", plan);
        CHECK(after.bytes_across_regions * least_ratio <=
              before.bytes_across_regions);
        // Datagrams to seeds whose region isn't known yet are not counted.
        CHECK(after.counted_gossip_bytes <= after.bytes_across_regions);
        CHECK(after.counted_gossip_bytes * 3 >= after.bytes_across_regions);
        CHECK(before.counted_gossip_bytes == 0);
    }
}

// Failure guarded against: usage that other regions report 400 ms later is
// granted twice.
TEST_CASE("two_regions_limits_hold_and_are_used")
{
    for (const std::size_t entries : {12U, 67U}) {
        fleet_plan plan = two_regions(entries);
        plan.lost_share = 0.01;
        plan.demand = 2;
        const fleet_result busy = run_plan("twice the limit", plan);
        CHECK(busy.peak_window_share <= 1);
        CHECK(busy.admitted_share >= 0.95);
    }
}

// The regions can't reach each other for eight seconds.
TEST_CASE("two_regions_partitioned_and_reconnected_both_serve_within_limits")
{
    for (const std::size_t entries : {12U, 67U, 300U}) {
        fleet_plan plan = two_regions(entries);
        plan.regions_apart_from = 12;
        if (entries < 300) {
            const fleet_result usual = run_plan("partitioned", plan);
            CHECK(usual.refused <= usual.asked / 100);
            CHECK(usual.unanswered == 0);
        }
        plan.demand = 2;
        const fleet_result busy =
            run_plan("partitioned, twice the limit", plan);
        CHECK(busy.peak_window_share <= 1);
        CHECK(busy.admitted_share >= 0.95);
        CHECK(busy.unanswered == 0);
    }
}

// Dispatchers are killed, and their replacements frozen: the other region
// learns of each change only after the longer timeout.
TEST_CASE("two_regions_dispatchers_killed_and_frozen_keep_limits")
{
    for (const std::size_t entries : {12U, 67U}) {
        fleet_plan plan = two_regions(entries);
        plan.seconds = 35;
        plan.killed_at = {14};
        plan.frozen_at = {18};
        plan.frozen_for = 3;
        plan.demand = 2;
        const fleet_result got = run_plan("killed and frozen", plan);
        CHECK(got.peak_window_share <= 1);
        CHECK(got.unanswered == 0);
    }
}

} // namespace greengagedrum::entry::fleet_test
