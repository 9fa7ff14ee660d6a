// Limits, and bytes between regions, of fleets that stand in two regions.
#include <greengagedrum/entry/fleet_test/region_fleet.hpp>

namespace greengagedrum::entry::fleet_test
{

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
