// How many requests all entries together send to an upstream that announces a
// rate limit.
#include <greengagedrum/entry/fleet_test/announced_limit_fleet.hpp>

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

// In four seconds: one and a half times the limit, and five requests.
double bound_of(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

announced_limit_plan random_plan(std::uint64_t seed)
{
    std::mt19937_64 random_engine(seed);
    const auto below = [&random_engine](std::uint64_t limit) {
        return random_engine() % limit;
    };
    constexpr std::size_t sizes[] = {1, 3, 9, 17, 24, 40, 69};
    announced_limit_plan out;
    out.seconds = 30;
    out.data_centres = 1 + below(4);
    out.entries =
        std::max<std::size_t>(sizes[below(std::size(sizes))], out.data_centres);
    out.seed = seed;
    out.per_second = 0.4 + static_cast<double>(below(80)) / 10;
    const auto moment = [&] {
        return 5 + static_cast<double>(below(150)) / 10;
    };
    if (below(2) == 0)
        out.killed_at = {moment()};
    if (below(3) == 0)
        out.frozen_at = {moment()};
    out.frozen_for = 0.3 + static_cast<double>(below(50)) / 10;
    if (below(3) == 0)
        out.restart_gap = 100ms + 1ms * below(500);
    out.restarts_from = moment();
    if (below(4) == 0)
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

TEST_CASE("announced_limits_in_fleets_of_any_size_kept_and_used")
{
    for (const std::size_t entries : {1U, 4U, 9U, 24U, 69U}) {
        for (const double per_second : {0.5, 1.8, 6.0}) {
            announced_limit_plan plan;
            plan.entries = entries;
            plan.data_centres = entries < 3 ? 1 : 3;
            plan.per_second = per_second;
            const auto result = announced_limit_fleet(plan).simulate();
            CAPTURE(entries);
            CAPTURE(per_second);
            CHECK(result.most_in_window <= bound_of(per_second));
            const double allowed =
                per_second * static_cast<double>(plan.data_centres) *
                (plan.announced_until - plan.announced_from - 3);
            CHECK(result.limited_sends >= 0.7 * allowed);
            CHECK(result.limited_sends <= 1.3 * allowed + 6);
            MESSAGE(entries,
                    " entries, ",
                    per_second,
                    " a second: ",
                    result.limited_sends,
                    " sends, allowed ",
                    allowed);
        }
    }
}

TEST_CASE("announced_limits_that_end_no_longer_bind")
{
    for (const std::size_t entries : {4U, 9U, 69U}) {
        announced_limit_plan plan;
        plan.entries = entries;
        const auto limited = announced_limit_fleet(plan).simulate();
        plan.announced_from = plan.announced_until = 1;
        const auto unlimited = announced_limit_fleet(plan).simulate();
        CAPTURE(entries);
        // The last seven seconds, against all but the first four.
        CHECK(limited.later_sends >= unlimited.later_sends * 7 / 26 * 9 / 10);
    }
}

TEST_CASE("announced_limits_kept_in_random_fleets")
{
    const std::uint64_t first = number_from("GGD_FIRST_FLEET", 1);
    const std::uint64_t count = number_from("GGD_RANDOM_FLEETS", 30);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const announced_limit_plan plan = random_plan(seed);
        CAPTURE(seed);
        CAPTURE(plan.entries);
        CAPTURE(plan.data_centres);
        CAPTURE(plan.per_second);
        const auto result = announced_limit_fleet(plan).simulate();
        CHECK(result.most_in_window <= bound_of(plan.per_second));
    }
}

} // namespace greengagedrum::entry::fleet_test
