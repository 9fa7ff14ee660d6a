// Faults of the strong entries in fleets of strong and weak ones, while the
// configuration changes.
#include <greengagedrum/entry/fleet_test/configuration_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

constexpr std::size_t data_centres = 4;

configuration_plan plan_of(std::size_t entries, strong_entry_fault fault)
{
    configuration_plan out;
    out.entries = entries;
    out.data_centres = data_centres;
    out.strong_entries = {true, true, fault, 14, 1e9};
    out.routes_added_at = 20;
    out.changes_at = {14.2, 22, 24};
    out.seconds = 30;
    return out;
}

configuration_result simulate(const configuration_plan& plan)
{
    const configuration_result result = configuration_fleet(plan).simulate();
    MESSAGE(plan.entries,
            " entries, fault ",
            static_cast<int>(plan.strong_entries.fault),
            ": slowest ",
            result.slowest,
            " s, late ",
            result.late,
            ", longest pause ",
            result.longest_pause,
            " s, role changes ",
            result.role_changes,
            ", late ones ",
            result.late_role_changes,
            ", dispatchers ",
            result.dispatchers,
            " of which strong ",
            result.strong_dispatchers,
            ", failed transfers ",
            result.failed_transfers);
    return result;
}

} // namespace

// The strong entries stay down; the next ones take over.
TEST_CASE("weak_entries_take_over_from_lost_strong_ones")
{
    for (const std::size_t entries : {67U, 79U}) {
        const auto result =
            simulate(plan_of(entries, strong_entry_fault::lost));
        CHECK(result.late == 0);
        CHECK(result.longest_pause < 0.75);
        CHECK(result.late_role_changes == 0);
        CHECK(result.dispatchers == data_centres);
    }
}

// Failure guarded against: strong entries whose processes stand still most of
// the time return as dispatchers whenever they run for a moment.
TEST_CASE("slowed_strong_entries_do_not_dispatch")
{
    const auto result = simulate(plan_of(79, strong_entry_fault::slowed));
    CHECK(result.late == 0);
    CHECK(result.longest_pause < 0.75);
    CHECK(result.late_role_changes == 0);
    CHECK(result.strong_dispatchers == 0);
    CHECK(result.dispatchers == data_centres);
}

// Failure guarded against: strong entries with congested links dispatch and
// send the configuration, and 77 entries had it late.
TEST_CASE("congested_strong_entries_do_not_dispatch")
{
    for (const std::size_t entries : {67U, 79U}) {
        const auto result =
            simulate(plan_of(entries, strong_entry_fault::congested));
        CHECK(result.late == 0);
        CHECK(result.longest_pause < 1);
        CHECK(result.late_role_changes == 0);
        CHECK(result.strong_dispatchers == 0);
        CHECK(result.dispatchers == data_centres);
    }
}

// Failure guarded against: all entries leave their dispatchers, and none
// serves.
TEST_CASE("congested_entries_keep_their_dispatchers_if_all_are")
{
    configuration_plan plan = plan_of(79, strong_entry_fault::congested);
    plan.strong_entries.all_entries = true;
    const auto result = simulate(plan);
    CHECK(result.late_role_changes == 0);
    CHECK(result.dispatchers == data_centres);
}

// The strong entries dispatch again once their congestion is over.
TEST_CASE("strong_entries_return_after_their_congestion")
{
    configuration_plan plan = plan_of(79, strong_entry_fault::congested);
    plan.strong_entries.until = 18;
    plan.seconds = 40;
    const auto result = simulate(plan);
    CHECK(result.late == 0);
    CHECK(result.dispatchers == data_centres);
    CHECK(result.strong_dispatchers == data_centres);
}

} // namespace greengagedrum::entry::fleet_test
