// The order of incarnations.
#include <greengagedrum/base/incarnation_started_at.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::base
{

using namespace std::chrono_literals;

// Peers reject a process that seems to be older than its predecessor.
TEST_CASE("incarnation_of_process_restarted_within_a_second_is_higher")
{
    constexpr std::chrono::nanoseconds day = 24h;
    std::chrono::nanoseconds at = 20'000 * day;
    incarnation previous = incarnation_started_at(at);
    for (int restart = 0; restart < 500; ++restart) {
        at += 10ms;
        const incarnation next = incarnation_started_at(at);
        CHECK(next > previous);
        previous = next;
    }
    CHECK(incarnation_started_at(at + 100ns) > previous);
}

// Entries of earlier builds have Unix seconds in the upper 40 bits.
TEST_CASE("incarnation_has_seconds_in_its_upper_bits")
{
    constexpr unsigned fraction_bits = 24;
    for (const std::chrono::nanoseconds rest : {0ns, 1ns, 999'999'999ns}) {
        const incarnation started =
            incarnation_started_at(1'800'000'000s + rest);
        CHECK((started.value >> fraction_bits) == 1'800'000'000U);
    }
}

} // namespace greengagedrum::base
