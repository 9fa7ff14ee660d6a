// The rate of requests to cold upstreams.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t cold_sends = 3; // requests a second
constexpr std::uint32_t slots = 5;

routing::published_upstream cold_upstream(const std::string& name,
                                          const char* data_centre,
                                          base::duration warmup)
{
    routing::published_upstream out = upstream_named(name, slots);
    out.data_centre = data_centre;
    out.warmup = warmup;
    return out;
}

struct cold_upstream_fixture : scheduler_fixture {
    cold_upstream_fixture()
    {
        this->tested.set_slow_start_rate(engines, cold_sends);
    }

    void join(const routing::published_upstream& one)
    {
        this->tested.upstream_joined(one, this->now);
    }

    // Sends a request every 20 ms, each answered at once.
    int sends_within(base::duration span)
    {
        int count = 0;
        for (const base::instant end = this->now + span; this->now < end;
             this->now += 20ms) {
            const auto id = this->arrive(stream_facts());
            if (this->last_action<send_request>() == nullptr) {
                this->step(caller_left{id});
                continue;
            }
            count += 1;
            this->answer(id, this->sent().send);
        }
        return count;
    }
};

} // namespace

// The limit is at most the published rate and half of the bound, but at
// least 1. Without a bound of at least 1 there is no limit, which 0 stands for.
TEST_CASE("slow_start_rate_at_most_half_of_the_bound")
{
    CHECK(slow_start_rate(7.3, {1.5, 5}) == 7);
    CHECK(slow_start_rate(100, {1, 0}) == 50);
    CHECK(slow_start_rate(0.5, {1, 0}) == 0);
    CHECK(slow_start_rate(1, {1, 0}) == 1);
    CHECK(slow_start_rate(0.5, {1.5, 5}) == 1);
    CHECK(slow_start_rate(1e30, {1e30, 1e30}) == 1'000'000);
}

TEST_CASE("slow_start_shares_add_up_to_the_rate")
{
    for (std::uint32_t sends = 0; sends < 20; ++sends) {
        for (std::uint32_t entries = 1; entries < 30; ++entries) {
            std::uint32_t sum = 0;
            for (std::uint32_t rank = 0; rank < entries; ++rank)
                sum += slow_start_share{rank, entries}.share_of(sends);
            CHECK(sum == sends);
        }
    }
    CHECK(slow_start_share{}.share_of(7) == 0);
}

// Failure guarded against: an upstream that has just started gets requests for
// all its slots at once and crashes.
TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "cold_upstream_gets_no_more_than_its_rate")
{
    this->join(cold_upstream("i-1", "hall", 3s));
    CHECK(this->sends_within(1s) == cold_sends);
    CHECK(this->sends_within(1s) == cold_sends);
    this->now += 1s;
    CHECK(this->sends_within(1s) > 10);
}

// When a warm upstream turns cold, its sends of the last second count against
// the rate limit.
TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "warm_upstream_turned_cold_limited_at_once")
{
    this->join(cold_upstream("i-1", "hall", 0s));
    CHECK(this->sends_within(1s) > 10);
    this->join(cold_upstream("i-1", "hall", 2s));
    CHECK(this->sends_within(900ms) == 0);
    CHECK(this->sends_within(1s) <= cold_sends);
    // The upstream is warm earlier than announced.
    this->join(cold_upstream("i-1", "hall", 0s));
    CHECK(this->sends_within(1s) > 10);
}

// Failure guarded against: entries of all data centres send to one cold
// upstream.
TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "cold_upstream_in_other_data_centre_gets_nothing")
{
    this->join(cold_upstream("i-1", "away", 3s));
    CHECK(this->sends_within(1s) == 0);
    this->now += 2s;
    CHECK(this->sends_within(1s) > 10);
}

TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "entry_without_share_sends_nothing_to_cold_upstream")
{
    this->tested.set_slow_start_share({});
    this->join(cold_upstream("i-1", "hall", 3s));
    CHECK(this->sends_within(1s) == 0);
    this->tested.set_slow_start_share({1, 2});
    CHECK(this->sends_within(1s) == 1);
}

TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "service_without_slow_start_rate_not_limited")
{
    this->tested.set_slow_start_rate(engines, 0);
    this->join(cold_upstream("i-1", "away", 3s));
    CHECK(this->sends_within(1s) > 10);
}

// A request queued for a cold upstream is sent as soon as the rate allows.
TEST_CASE_FIXTURE(cold_upstream_fixture,
                  "request_queued_for_cold_upstream_sent_after_a_second")
{
    this->join(cold_upstream("i-1", "hall", 5s));
    for (std::uint32_t count = 0; count < cold_sends; ++count) {
        const auto id = this->arrive(stream_facts());
        this->answer(id, this->sent().send);
    }
    const auto waiting = this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() == nullptr);
    this->advance(1s);
    CHECK(this->sent().request == waiting);
}

} // namespace greengagedrum::traffic
