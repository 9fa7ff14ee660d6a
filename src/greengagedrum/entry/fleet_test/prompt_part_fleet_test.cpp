// Containment of requests that share a poison part, which crashes each upstream
// that answers a request that has it, in fleets of entries.
#include <greengagedrum/entry/fleet_test/prompt_part_fleet.hpp>

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

// Sends of one part allowed later than three seconds after its fifth crash.
constexpr std::uint32_t max_late_sends = 3;
// Least share of sound requests that are still sent, relative to before.
constexpr double least_sent_share = 0.5;
constexpr double good_sent_share = 0.9;

constexpr std::array all_kinds{poison_part_kind::session,
                               poison_part_kind::first,
                               poison_part_kind::with_companion,
                               poison_part_kind::two,
                               poison_part_kind::sound_before};

prompt_part_result simulate(const prompt_part_plan& plan)
{
    const prompt_part_result result = prompt_part_fleet(plan).simulate();
    MESSAGE(plan.entries,
            " entries: crashed ",
            result.crashed,
            ", bystanders ",
            result.bystanders,
            ", late sends ",
            result.late_sends,
            "; relative share sent ",
            result.relative_sent_share(),
            std::string(result.relative_sent_share() < good_sent_share
                            ? " (below 0.9)"
                            : ""),
            ", same first part ",
            result.first_after.sent,
            " of ",
            result.first_after.arrived,
            ", same workspace ",
            result.workspace_after.sent,
            " of ",
            result.workspace_after.arrived,
            ", companion ",
            result.companion_after.sent,
            " of ",
            result.companion_after.arrived,
            "; of ",
            result.ordinary,
            " sound requests answered ",
            result.answered,
            ", refused as quarantined ",
            result.refused_as_quarantined,
            "; bytes a second ",
            result.bytes_per_second,
            ", crash records ",
            result.records);
    return result;
}

void check_containment(const prompt_part_plan& plan)
{
    const prompt_part_result result = simulate(plan);
    CHECK(result.late_sends <= max_late_sends);
    CHECK(result.relative_sent_share() >= least_sent_share);
}

prompt_part_plan plan_of(std::size_t entries)
{
    prompt_part_plan out;
    out.entries = entries;
    out.upstreams = std::max<std::size_t>(9, entries / 4);
    return out;
}

// A run of 20 s with a random kind of poison part and at most one fault.
prompt_part_plan random_plan(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    prompt_part_plan out = plan_of(9);
    out.seed = seed;
    out.seconds = 20;
    out.kind = all_kinds[random() % all_kinds.size()];
    out.rare_workspace = random() % 4 == 0;
    out.resumable = random() % 3 == 0;
    switch (random() % 7) {
    case 0:
        out.upstream_exit_interval = 2s;
        break;
    case 1:
        out.connection_reset_interval = 300ms;
        break;
    case 2:
        out.all_killed_at = 8;
        break;
    case 3:
        out.restart_gap = 500ms;
        out.restarts_from = 7;
        break;
    case 4:
        out.cut_from = 5;
        out.cut_for = 6;
        break;
    case 5:
        out.lost_share = 0.05;
        break;
    default:
        break;
    }
    return out;
}

void check_random_plans(std::uint64_t first_seed, std::uint64_t count)
{
    std::uint64_t below_good_share = 0;
    std::uint64_t uncontained = 0;
    std::uint64_t refused = 0;
    std::uint32_t most_late_sends = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
        const prompt_part_result result =
            prompt_part_fleet(random_plan(seed)).simulate();
        const double share = result.relative_sent_share();
        below_good_share += share < good_sent_share ? 1 : 0;
        uncontained += result.late_sends > max_late_sends ? 1 : 0;
        refused += result.refused_as_quarantined;
        most_late_sends = std::max(most_late_sends, result.late_sends);
        CAPTURE(seed);
        CHECK(result.late_sends <= max_late_sends);
        CHECK(share >= least_sent_share);
    }
    MESSAGE(count,
            " seeds: uncontained ",
            uncontained,
            ", most late sends ",
            most_late_sends,
            "; relative share sent below 0.9 in ",
            below_good_share,
            "; sound requests refused as quarantined ",
            refused);
}

} // namespace

// Requests of which no two are alike, at random entries, would crash one
// upstream after the other, since the whole request never comes twice.
TEST_CASE("poison_session_part_is_contained_over_all_entries")
{
    for (const std::size_t entries : {9U, 86U, 295U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.seconds = entries > 100 ? 18 : 30;
        check_containment(plan);
    }
}

// The workspace's part is in more poison requests than sound ones, so it could
// be held instead of the poison part.
TEST_CASE("poison_part_of_a_rare_workspace_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.rare_workspace = true;
        check_containment(plan);
    }
}

// The parts after the poison part are those of sound requests, and any of them
// could be held instead.
TEST_CASE("poison_first_part_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.kind = poison_part_kind::first;
        check_containment(plan);
    }
}

// Holding the companion would refuse the sound requests that have it too.
TEST_CASE("poison_part_with_a_sound_companion_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.kind = poison_part_kind::with_companion;
        check_containment(plan);
    }
}

// Each part has only some of the crashes, and one may hide the other.
TEST_CASE("two_poison_parts_at_once_are_both_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.kind = poison_part_kind::two;
        check_containment(plan);
    }
}

// Answers from before would clear the part for good.
TEST_CASE("part_that_becomes_poison_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.kind = poison_part_kind::sound_before;
        check_containment(plan);
    }
}

// Exits with other requests on the upstream put sound parts under suspicion.
TEST_CASE("poison_part_beside_other_exits_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.upstream_exit_interval = 2s;
        check_containment(plan);
    }
}

// A lost connection to an upstream that goes on is no crash.
TEST_CASE("poison_part_beside_reset_connections_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.connection_reset_interval = 300ms;
        check_containment(plan);
    }
}

// All entries are killed at once, so their crash records are lost.
TEST_CASE("poison_part_after_all_entries_were_killed_is_contained_again")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.all_killed_at = 15;
        check_containment(plan);
    }
}

// A new process must learn from its peers which parts are quarantined.
TEST_CASE("restarted_entries_do_not_send_a_quarantined_part")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.restart_gap = 500ms;
        check_containment(plan);
    }
}

// Entries on the smaller side of a partition count alone, and have to catch up
// after it.
TEST_CASE("poison_part_is_contained_beside_a_partition")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.cut_from = 5;
        check_containment(plan);
    }
}

// Reports of crashes are lost with their datagrams.
TEST_CASE("poison_part_is_contained_while_datagrams_are_lost")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.lost_share = 0.05;
        check_containment(plan);
    }
}

// Each poison request may be sent to a second upstream, and so may the streams
// that it interrupts.
TEST_CASE("poison_part_in_resumable_streams_is_contained")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.resumable = true;
        check_containment(plan);
    }
}

// Upstreams exit for other reasons and connections are reset, while all
// requests share parts.
TEST_CASE("parts_that_crash_nothing_are_not_quarantined")
{
    for (const std::size_t entries : {9U, 86U}) {
        prompt_part_plan plan = plan_of(entries);
        plan.poison_requests = 0;
        plan.upstream_exit_interval = 2s;
        plan.connection_reset_interval = 300ms;
        const prompt_part_result result = simulate(plan);
        CHECK(result.refused_as_quarantined == 0);
    }
}

// Combinations of poison part, fault and timing that no other test names.
TEST_CASE("poison_parts_of_random_runs_are_contained")
{
    constexpr std::uint64_t seeds = 200;
    check_random_plans(1, seeds);
}

// The same over many seeds, by hand:
// test-entry-fleet --no-skip
//     --test-case=poison_parts_of_many_random_runs_are_contained
TEST_CASE("poison_parts_of_many_random_runs_are_contained" * doctest::skip())
{
    constexpr std::uint64_t seeds = 2'000;
    check_random_plans(1'000, seeds);
}

} // namespace greengagedrum::entry::fleet_test
