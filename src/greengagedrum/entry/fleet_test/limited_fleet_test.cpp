// Requests that a fleet refuses as over a limit while entries come and go.
#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

fleet_result run_plan(const fleet_plan& plan)
{
    const fleet_result got = limited_fleet(plan).run();
    MESSAGE(plan.entries,
            " entries: refused ",
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
            " s, changes ",
            got.dispatcher_changes,
            ", bytes a second ",
            got.busiest_bytes);
    return got;
}

// At the usual load almost nothing is refused; at twice the limit, usage stays
// within the limit and makes use of it.
void check_both_loads(fleet_plan plan)
{
    const fleet_result usual = run_plan(plan);
    CHECK(usual.refused < usual.asked / 100);
    CHECK(usual.peak_window_share <= 1);

    plan.demand = 2;
    const fleet_result busy = run_plan(plan);
    CHECK(busy.peak_window_share <= 1);
    CHECK(busy.admitted_share >= 0.95);
}

} // namespace

// A rolling restart, one entry every two seconds, at the usual load.
TEST_CASE("rolling_restart_refuses_nothing_within_the_limit")
{
    for (const std::size_t entries : {9U, 86U}) {
        fleet_plan plan;
        plan.entries = entries;
        plan.restart_gap = 2s;
        plan.seconds = 50;
        const fleet_result got = run_plan(plan);
        CHECK(got.refused < got.asked / 1000);
        CHECK(got.peak_window_share <= 1);
        // The four data centres' dispatchers and their replacements are stopped
        // once each; strong entries that return change nothing.
        CHECK(got.dispatcher_changes <= (entries > 9 ? 8 : 0));
    }
}

// The same while a workspace requests twice its limit: admitted usage stays
// within the limit and makes use of it.
TEST_CASE("rolling_restart_at_twice_the_limit_keeps_and_uses_it")
{
    fleet_plan plan;
    plan.demand = 2;
    plan.restart_gap = 2s;
    plan.seconds = 50;
    const fleet_result got = run_plan(plan);
    CHECK(got.peak_window_share <= 1);
    CHECK(got.admitted_share >= 0.95);
}

// All dispatchers are killed, and the entries that replaced them four seconds
// later.
TEST_CASE("dispatchers_killed_twice_in_a_window_refuse_little")
{
    fleet_plan plan;
    plan.killed_at = {15, 19};
    check_both_loads(plan);
}

// All dispatchers are frozen for five seconds and resume with outdated state.
TEST_CASE("dispatchers_resumed_after_freeze_refuse_little")
{
    fleet_plan plan;
    plan.frozen_at = {15};
    check_both_loads(plan);
}

// A network partition separates one dispatcher and half of its members.
TEST_CASE("dispatcher_partitioned_with_half_its_members_keeps_the_limit")
{
    fleet_plan plan;
    plan.cut_from = 15;
    check_both_loads(plan);
}

// All entries are killed at once and restarted 600 ms later.
TEST_CASE("fleet_killed_at_once_refuses_little_after_restart")
{
    for (const std::size_t entries : {34U, 86U}) {
        fleet_plan plan;
        plan.entries = entries;
        plan.all_killed_at = 15;
        const fleet_result got = run_plan(plan);
        CHECK(got.refused < got.asked / 20);
        CHECK(got.peak_window_share <= 1);
    }
}

// Failure guarded against: a fleet shrinks until each entry dispatches by
// itself, and goes on reserving a share of the limit for the removed entries.
TEST_CASE("shrunk_fleet_reserves_nothing_for_removed_entries")
{
    fleet_plan plan;
    plan.entries = 34;
    plan.data_centres = 1;
    plan.shrinks_at = 5;
    plan.remaining_entries = 20;
    plan.seconds = 70;
    CHECK(run_plan(plan).reserved_for_absent == 0);
}

// Dispatchers and members come and go at random, with one workspace at 0.3 to 3
// times its limit: no usage window holds more than is tolerated.
TEST_CASE("random_faults_keep_usage_within_every_window")
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const fleet_result got = limited_fleet(random_fleet_plan(seed)).run();
        CAPTURE(seed);
        CAPTURE(got.peak_at);
        CHECK(got.peak_window_share <= 1);
    }
}

// Failure guarded against: two partitioned halves of a data centre, or
// dispatchers that were all frozen, each grant the whole limit.
TEST_CASE("two_dispatchers_of_a_data_centre_keep_one_limit")
{
    for (const std::uint64_t seed : {148U, 151U, 188U, 1044U}) {
        const fleet_result got = limited_fleet(random_fleet_plan(seed)).run();
        CAPTURE(seed);
        CAPTURE(got.peak_at);
        CHECK(got.peak_window_share <= 1);
    }
}

} // namespace greengagedrum::entry::fleet_test
