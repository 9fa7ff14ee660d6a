// How many requests all entries together send to a cold upstream.
#include <greengagedrum/entry/fleet_test/slow_start_fleet.hpp>
#include <greengagedrum/traffic/slow_start.hpp>

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr double per_second = 7.3;
constexpr traffic::slow_start_tolerance tolerance{1.5, 5};
constexpr std::uint32_t bound = 15; // 7.3 x 1.5 + 5, rounded down

slow_start_plan plan_of(std::size_t entries, std::size_t data_centres)
{
    slow_start_plan out;
    out.entries = entries;
    out.data_centres = data_centres;
    out.seconds = 15;
    out.sends = traffic::slow_start_rate(per_second, tolerance);
    return out;
}

slow_start_plan random_plan(std::uint64_t seed)
{
    std::mt19937_64 random_engine(seed);
    const auto below = [&random_engine](std::uint64_t limit) {
        return random_engine() % limit;
    };
    constexpr std::size_t sizes[] = {2, 5, 9, 24, 40, 69};
    slow_start_plan out = plan_of(sizes[below(std::size(sizes))], 1 + below(4));
    out.entries = std::max(out.entries, out.data_centres);
    out.seed = seed;
    out.seconds = 20;
    const auto moment = [&] {
        return 3 + static_cast<double>(below(120)) / 10;
    };
    if (below(2) == 0)
        out.killed_at = {moment()};
    if (below(3) == 0)
        out.frozen_at = {moment()};
    out.frozen_for = 0.3 + static_cast<double>(below(50)) / 10;
    if (below(3) == 0)
        out.restart_gap = 100ms + 1ms * below(500);
    out.restarts_from = moment();
    if (below(3) == 0)
        out.all_killed_at = moment();
    if (below(3) == 0)
        out.cut_from = moment();
    out.cut_for = 1 + static_cast<double>(below(80)) / 10;
    out.lost_share = 0.01 * static_cast<double>(below(10));
    return out;
}

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const char* given = std::getenv(variable);
    return given == nullptr ? otherwise : std::stoull(given);
}

} // namespace

TEST_CASE("cold_upstreams_in_fleets_of_any_size_get_their_start_rate")
{
    for (const std::size_t entries : {1U, 9U, 69U, 295U}) {
        slow_start_plan plan = plan_of(entries, 4);
        plan.seconds = entries > 100 ? 8 : 15;
        const slow_start_result result = slow_start_fleet(plan).simulate();
        CHECK(result.max_per_second <= 7);
        MESSAGE(entries, " entries: ", result.sends, " sends");
        // Nearly all allowed sends happen, except in the seconds until the
        // entries know each other.
        if (entries > 4)
            CHECK(result.sends > 4U * 7 * (plan.seconds - 5));
    }
}

// All entries restart at once, and each takes itself to be the only one.
TEST_CASE("cold_upstreams_keep_their_bound_when_all_entries_restart")
{
    slow_start_plan plan = plan_of(69, 4);
    plan.all_killed_at = 6;
    CHECK(slow_start_fleet(plan).simulate().max_per_second <= 7);
}

// Seeds of random fleets that exceeded the bound in earlier versions, with
// dispatchers that follow each other and processes frozen or cut off in their
// first seconds.
TEST_CASE("cold_upstreams_keep_their_bound_in_fleets_that_once_failed")
{
    for (const std::uint64_t seed :
         {5U, 13U, 24U, 37U, 245U, 763U, 1523U, 1592U, 1932U}) {
        CAPTURE(seed);
        CHECK(slow_start_fleet(random_plan(seed)).simulate().max_per_second <=
              bound);
    }
}

// Entries on both sides of a network partition send as if they were alone.
TEST_CASE("cold_upstreams_keep_their_bound_in_random_fleets")
{
    std::uint32_t worst = 0;
    const std::uint64_t first = number_from("GGD_FIRST_FLEET", 1);
    const std::uint64_t count = number_from("GGD_RANDOM_FLEETS", 40);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        const slow_start_plan plan = random_plan(seed);
        CAPTURE(plan.entries);
        CAPTURE(plan.data_centres);
        CAPTURE(plan.restart_gap.count());
        CAPTURE(plan.restarts_from);
        CAPTURE(plan.frozen_for);
        CAPTURE(plan.all_killed_at);
        CAPTURE(plan.cut_from);
        CAPTURE(plan.cut_for);
        CAPTURE(plan.killed_at.size());
        CAPTURE(plan.frozen_at.size());
        const slow_start_result result = slow_start_fleet(plan).simulate();
        CHECK(result.max_per_second <= bound);
        worst = std::max(worst, result.max_per_second);
    }
    MESSAGE("most sends in a second: ", worst);
}

} // namespace greengagedrum::entry::fleet_test
