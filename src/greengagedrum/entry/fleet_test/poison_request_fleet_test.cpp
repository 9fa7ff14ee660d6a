// Containment of poison requests, which crash each upstream that runs them, in
// fleets of entries.
#include <greengagedrum/entry/fleet_test/poison_request_fleet.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

// Runs allowed after the third crash, once all entries can know of it.
constexpr std::uint32_t max_late_runs = 3;

poison_request_result simulate(const poison_request_plan& plan)
{
    const poison_request_result result = poison_request_fleet(plan).simulate();
    MESSAGE(plan.entries,
            " entries: poison requests ran ",
            result.poison_runs,
            " times, crashed ",
            result.crashed,
            ", late ",
            result.late_runs,
            " times; of ",
            result.ordinary,
            " ordinary requests answered ",
            result.answered,
            ", refused as quarantined ",
            result.refused_as_quarantined,
            "; bytes a second ",
            result.bytes_per_second,
            ", crash records ",
            result.records);
    return result;
}

poison_request_plan plan_of(std::size_t entries)
{
    poison_request_plan out;
    out.entries = entries;
    out.upstreams = std::max<std::size_t>(9, entries / 4);
    return out;
}

} // namespace

// The same request, repeated at random entries, would crash one upstream after
// the other.
TEST_CASE("poison_request_is_contained_over_all_entries")
{
    for (const std::size_t entries : {9U, 86U, 295U}) {
        poison_request_plan plan = plan_of(entries);
        plan.seconds = entries > 100 ? 18 : 30;
        const poison_request_result result = simulate(plan);
        CHECK(result.late_runs <= max_late_runs);
        CHECK(result.crashed <= 3);
    }
}

// Five copies arrive at the same moment at random entries.
TEST_CASE("simultaneous_poison_requests_are_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        poison_request_plan plan = plan_of(entries);
        plan.copies = 5;
        const poison_request_result result = simulate(plan);
        CHECK(result.late_runs <= max_late_runs);
        CHECK(result.crashed <= 5);
    }
}

// All entries are killed at once, so their crash records are lost.
TEST_CASE("poison_request_after_all_entries_were_killed_is_contained_again")
{
    for (const std::size_t entries : {9U, 86U}) {
        poison_request_plan plan = plan_of(entries);
        plan.all_killed_at = 15;
        const poison_request_result result = simulate(plan);
        CHECK(result.late_runs <= max_late_runs);
    }
}

// A new process must learn from its peers which requests are quarantined.
TEST_CASE("restarted_entries_do_not_send_a_quarantined_request")
{
    for (const std::size_t entries : {9U, 86U}) {
        poison_request_plan plan = plan_of(entries);
        plan.restart_gap = 500ms;
        // In a small fleet every entry is a dispatcher, so all would be killed.
        if (entries > 9) {
            plan.killed_at = {14, 20};
            plan.frozen_at = {17};
        }
        plan.seconds = 40;
        const poison_request_result result = simulate(plan);
        CHECK(result.late_runs <= max_late_runs);
        CHECK(result.crashed <= 3);
    }
}

// Entries on both sides of a network partition count alone, and one datagram in
// twenty is lost.
TEST_CASE("poison_request_is_contained_on_both_sides_of_a_partition")
{
    for (const std::size_t entries : {9U, 86U}) {
        poison_request_plan plan = plan_of(entries);
        plan.cut_from = 5;
        plan.lost_share = 0.05;
        const poison_request_result result = simulate(plan);
        CHECK(result.late_runs <= max_late_runs);
    }
}

// One caller sends three hundred bodies, each of which crashes upstreams.
TEST_CASE("many_poison_bodies_are_each_contained")
{
    poison_request_plan plan;
    plan.entries = 9;
    plan.upstreams = 60;
    plan.bodies = 300;
    plan.poison_interval = 110ms;
    plan.seconds = 80;
    const poison_request_result result = simulate(plan);
    CHECK(result.late_runs <= max_late_runs);
    CHECK(result.crashed <= 2 * plan.bodies + 10);
}

// Upstreams exit for other reasons, and a third of all requests have the same
// body.
TEST_CASE("requests_that_crash_nothing_are_not_quarantined")
{
    for (const std::size_t entries : {9U, 86U}) {
        poison_request_plan plan = plan_of(entries);
        plan.crashes = false;
        plan.same_body_share = 0.3;
        plan.upstream_exit_interval = 1s;
        plan.connection_reset_interval = 300ms;
        const poison_request_result result = simulate(plan);
        CHECK(result.refused_as_quarantined == 0);
    }
}

} // namespace greengagedrum::entry::fleet_test
