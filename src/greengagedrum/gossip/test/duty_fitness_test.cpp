// Tests when an entry takes itself for congested.
#include <greengagedrum/gossip/duty_fitness.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr double weak_link = 1.25e6; // 10 Mbit/s
constexpr double strong_link = 25e6; // 200 Mbit/s

struct fitness_fixture {
    base::instant now{1h};
    duty_fitness weak{weak_link};
    duty_fitness strong{strong_link};
    int changes = 0;

    void observe(const load_observation& observed,
                 base::duration for_time,
                 base::duration interval = 20ms)
    {
        const base::instant end = this->now + for_time;
        for (; this->now < end; this->now += interval) {
            this->changes += this->weak.observe(observed, this->now) ? 1 : 0;
            this->strong.observe(observed, this->now);
        }
    }
};

load_observation late(base::duration by)
{
    return {by, 0, 0, 0};
}

} // namespace

TEST_CASE_FIXTURE(fitness_fixture, "idle_entry_is_not_congested")
{
    this->observe({}, 5s);
    CHECK_FALSE(this->weak.is_congested());
}

TEST_CASE_FIXTURE(fitness_fixture, "datagrams_that_do_not_leave_are_congestion")
{
    this->observe({0ms, 1000, 1000, 0}, 480ms);
    CHECK_FALSE(this->weak.is_congested());
    this->observe({0ms, 9000, 9000, 0}, 300ms);
    CHECK(this->weak.is_congested());
    CHECK(this->weak.packet_wait() >= 500ms);
}

// A queue that is never empty is usual under load; only its age matters.
TEST_CASE_FIXTURE(fitness_fixture, "moving_queue_is_not_congestion")
{
    for (std::uint64_t written = 10'000; written < 1'000'000; written += 5'000)
        this->observe({0ms, written, 10'000, 0}, 20ms);
    CHECK(this->weak.packet_wait() <= 60ms);
    CHECK_FALSE(this->weak.is_congested());
}

// The same queue delays the packets of a slow link only.
TEST_CASE_FIXTURE(fitness_fixture, "unsent_transfers_count_by_link_capacity")
{
    this->observe({0ms, 0, 0, 700'000}, 400ms);
    CHECK(this->weak.is_congested());
    CHECK_FALSE(this->strong.is_congested());
}

// Peers notice a single pause by the silence; a hand-over would be one more.
TEST_CASE_FIXTURE(fitness_fixture, "single_late_tick_is_not_congestion")
{
    this->observe(late(3s), 20ms);
    this->observe({}, 2s);
    this->observe(late(3s), 20ms);
    this->observe({}, 2s);
    CHECK(this->changes == 0);
}

TEST_CASE_FIXTURE(fitness_fixture, "repeatedly_late_ticks_are_congestion")
{
    this->observe(late(600ms), 1300ms, 600ms);
    CHECK(this->weak.is_congested());
}

// A process that has used up its quota pauses for up to 100 ms.
TEST_CASE_FIXTURE(fitness_fixture, "pauses_by_quota_are_not_congestion")
{
    this->observe(late(90ms), 30s, 100ms);
    CHECK(this->changes == 0);
}

// Failure guarded against: a duty that congests its entry goes to and fro.
TEST_CASE_FIXTURE(fitness_fixture, "recovery_takes_longer_after_each_relapse")
{
    for (const auto recovery : {10s, 20s, 40s, 80s, 80s}) {
        this->observe(late(600ms), 400ms);
        CHECK(this->weak.is_congested());
        this->observe({}, recovery - 100ms);
        CHECK(this->weak.is_congested());
        this->observe({}, 200ms);
        CHECK_FALSE(this->weak.is_congested());
    }
    this->observe({}, 130s);
    this->observe(late(600ms), 400ms);
    this->observe({}, 10'200ms);
    CHECK_FALSE(this->weak.is_congested());
}

TEST_CASE_FIXTURE(fitness_fixture, "one_long_wait_restarts_the_recovery")
{
    this->observe(late(600ms), 400ms);
    this->observe({}, 9s);
    this->observe(late(200ms), 20ms);
    this->observe({}, 9s);
    CHECK(this->weak.is_congested());
}

} // namespace greengagedrum::gossip
