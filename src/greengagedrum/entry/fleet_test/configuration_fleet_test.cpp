// Changes of the configuration in fleets of entries whose links are slow.
#include <greengagedrum/entry/fleet_test/configuration_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

configuration_result simulate(const configuration_plan& plan)
{
    const configuration_result result = configuration_fleet(plan).simulate();
    MESSAGE(plan.entries,
            " entries, ",
            plan.rejected_share,
            " of them rejected, ",
            result.document_bytes,
            " bytes of configuration: slowest ",
            result.slowest,
            " s, late ",
            result.late,
            "; failed transfers ",
            result.failed_transfers,
            ", calls of the store ",
            result.store_calls);
    return result;
}

configuration_plan plan_of(std::size_t entries, double rejected_share)
{
    configuration_plan out;
    out.entries = entries;
    out.rejected_share = rejected_share;
    out.changes_at = {9.0, 11.0, 12.3};
    out.seconds = 16;
    return out;
}

} // namespace

// A small change of a large document would reach entries on slow links late.
TEST_CASE("change_of_a_large_configuration_is_in_force_in_time")
{
    for (const std::size_t entries : {9U, 69U}) {
        for (const double rejected_share : {0.0, 0.33, 0.9})
            CHECK(simulate(plan_of(entries, rejected_share)).late == 0);
    }
}

// As above, where more entries follow each dispatcher.
TEST_CASE("change_of_a_large_configuration_is_in_force_in_time_at_295_entries")
{
    CHECK(simulate(plan_of(295, 0.33)).late == 0);
}

// A document near the largest value that a store takes.
TEST_CASE("change_of_the_largest_configuration_is_in_force_in_time")
{
    configuration_plan plan = plan_of(69, 0.33);
    plan.routes_added = 4500;
    CHECK(simulate(plan).late == 0);
}

// The entry that members follow dies while a change is on its way.
TEST_CASE("change_is_in_force_in_time_though_dispatchers_die")
{
    for (const double killed_at : {6.2, 9.3}) {
        configuration_plan plan = plan_of(69, 0.33);
        plan.killed_at = {killed_at};
        CHECK(simulate(plan).late == 0);
    }
}

} // namespace greengagedrum::entry::fleet_test
