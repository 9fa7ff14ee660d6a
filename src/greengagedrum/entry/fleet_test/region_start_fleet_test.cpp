// Starts of all entries of a fleet in two regions, with the store in one.
#include <greengagedrum/entry/fleet_test/configuration_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

// 3,000 upstreams: seven pages of the store's listing.
configuration_plan plan_of(std::size_t entries)
{
    configuration_plan out;
    out.entries = entries;
    out.data_centres = 6;
    out.regions = 2;
    out.listing_pages = 7;
    out.routes_added = 1;
    out.routes_added_at = 5;
    out.changes_at = {7.0};
    out.bound = 1.5;
    out.seconds = 8.5;
    return out;
}

configuration_result simulate(const configuration_plan& plan)
{
    const configuration_result result = configuration_fleet(plan).simulate();
    MESSAGE(plan.entries,
            " entries: slowest ",
            result.slowest,
            " s, late ",
            result.late,
            ", recovery ",
            result.recovery,
            " s, between regions ",
            result.bytes_between_regions,
            " bytes, calls of the store ",
            result.store_calls,
            ", failed transfers ",
            result.failed_transfers);
    return result;
}

} // namespace

// Every entry that starts lists the store; the link between the regions is
// full, and changes reach the far region late.
TEST_CASE("change_after_a_start_of_all_entries_is_in_force_in_both_regions")
{
    for (const std::size_t entries : {30U, 300U})
        CHECK(simulate(plan_of(entries)).late == 0);
}

// As above, where all processes were killed.
TEST_CASE("fleet_in_two_regions_serves_two_seconds_after_all_were_killed")
{
    for (const std::size_t entries : {30U, 300U}) {
        configuration_plan plan = plan_of(entries);
        plan.all_killed_at = 3;
        plan.routes_added_at = 1e9;
        plan.changes_at = {};
        plan.seconds = 7;
        CHECK(simulate(plan).recovery <= 2);
    }
}

} // namespace greengagedrum::entry::fleet_test
