// What all entries together admit of one limit, in simulated failures.
#include "fleet_simulation.hpp"
#include <doctest/doctest.h>

namespace greengagedrum::quota
{

using test::fleet_simulation;
using test::random_plan;
using test::simulation_plan;
using test::simulation_result;

// A third of the entries is isolated from all others. Three seconds later a
// workspace demands six times its usual rate, which no entry knew of before the
// partition. Each isolated entry could give it the whole limit once more.
TEST_CASE("burst_behind_partition_keeps_one_limit")
{
    simulation_plan plan;
    plan.entries = 9;
    plan.isolated_from = 1;
    plan.isolated_for = 12;
    plan.isolated_entries = 3;
    plan.busy_from = 4;
    plan.busy_for = 11;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        plan.seed = seed;
        const simulation_result got = fleet_simulation(plan).run();
        CAPTURE(seed);
        CHECK(got.highest_share < 1);
        // The shares of the isolated entries are not lost either.
        CHECK(got.admitted > 0.75 * plan.rate * plan.seconds * 0.7);
    }
}

// Isolated entries, groups of entries and other failures in any combination: no
// window holds more than is tolerated.
TEST_CASE("random_failures_no_window_exceeded")
{
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const simulation_result got = fleet_simulation(random_plan(seed)).run();
        CAPTURE(seed);
        CAPTURE(got.highest_at);
        REQUIRE(got.highest_share <= 1);
    }
}

// The usual demand is about three fifths of the limit, half of it at one entry,
// and some entries are isolated for ten seconds. Demand within the limit must
// be admitted.
TEST_CASE("usual_demand_behind_partition_admitted")
{
    simulation_plan plan;
    plan.entries = 9;
    plan.usual_demand = 0.55;
    plan.busy_for = 0;
    plan.half_at_one_entry = true;
    plan.isolated_from = 12;
    plan.isolated_for = 10;
    plan.isolated_entries = 3;
    double refused = 0;
    double requested = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        plan.seed = seed;
        const simulation_result got = fleet_simulation(plan).run();
        refused += got.refused;
        requested += got.requested;
    }
    CHECK(refused < 0.01 * requested);
}

// The entries are restarted in turn, one every two seconds, while a workspace
// uses about three fifths of its limit. Each new process hears from all others
// what was sent; none of it may be counted twice, or for longer than the
// window.
TEST_CASE("entries_restarted_in_turn_demand_within_limit_admitted")
{
    simulation_plan plan;
    plan.entries = 9;
    plan.usual_demand = 0.55;
    plan.busy_for = 0;
    plan.restart_in_turn = true;
    for (double at = 2; at < 36; at += 2)
        plan.restarts.push_back(at);
    double refused = 0;
    double requested = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        plan.seed = seed;
        const simulation_result got = fleet_simulation(plan).run();
        refused += got.refused;
        requested += got.requested;
    }
    CHECK(refused < 0.002 * requested);
}

} // namespace greengagedrum::quota
