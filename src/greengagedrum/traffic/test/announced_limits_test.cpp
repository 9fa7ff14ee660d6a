// Rate limits that upstreams announce.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

#include <cmath>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_id limited("i-1");
constexpr double rate = 2; // requests a second

struct limits_fixture {
    bool record(double per_second,
                base::duration age = 0s,
                limit_source source = limit_source::own_group)
    {
        return this->tested.record({limited, per_second, age}, source, now);
    }

    // Sends a request whenever one is allowed.
    int sends_within(base::duration span)
    {
        int count = 0;
        for (const base::instant end = this->now + span; this->now < end;
             this->now += 5ms) {
            for (; this->tested.allowance(limited, this->now) > 0; ++count)
                this->tested.on_sent(limited, this->now);
        }
        return count;
    }

    announced_limits tested;
    base::instant now{1h};
};

struct limited_upstream_fixture : scheduler_fixture {
    limited_upstream_fixture() { this->join("i-1", "hall"); }

    void join(const std::string& name, const char* data_centre)
    {
        routing::published_upstream one = upstream_named(name, 50);
        one.data_centre = data_centre;
        this->tested.upstream_joined(one, this->now);
    }

    void announce(double per_second)
    {
        this->step(rate_limit_read{limited, per_second});
    }

    // Sends a request every 20 ms, each answered at once.
    int sends_within(base::duration span)
    {
        int count = 0;
        for (const base::instant end = this->now + span; this->now < end;
             this->now += 20ms) {
            const auto id = this->arrive(stream_facts());
            const auto* sent = this->last_action<send_request>();
            if (sent == nullptr) {
                this->step(caller_left{id});
                continue;
            }
            count += sent->upstream == limited ? 1 : 0;
            this->answer(id, sent->send);
        }
        return count;
    }
};

} // namespace

TEST_CASE_FIXTURE(limits_fixture, "announced_limit_spread_over_the_time")
{
    CHECK(this->record(rate));
    CHECK(this->sends_within(400ms) == 0); // not at once
    CHECK(this->sends_within(10s) <= 21);
    CHECK(this->sends_within(10s) >= 19);
}

TEST_CASE_FIXTURE(limits_fixture, "high_announced_limit_used_in_full")
{
    CHECK(this->record(100));
    CHECK(this->sends_within(10s) >= 990);
    CHECK(this->sends_within(10s) <= 1010);
}

// Allowance that was not used does not add up.
TEST_CASE_FIXTURE(limits_fixture, "announced_limit_after_idle_time_kept")
{
    CHECK(this->record(rate));
    this->now += 20s;
    CHECK(this->sends_within(4s) <= 9);
}

TEST_CASE_FIXTURE(limits_fixture, "newest_announcement_counts")
{
    CHECK(this->record(rate, 1s));
    CHECK_FALSE(this->record(0, 2s));
    CHECK(this->tested.limit_of(limited, this->now) == rate);
    CHECK(this->record(0, 500ms, limit_source::peer));
    CHECK(this->tested.limit_of(limited, this->now) == 0);
    CHECK_FALSE(this->record(rate, 700ms));
    CHECK(this->tested.limit_of(limited, this->now) == 0);
    CHECK(this->tested.count(this->now) == 0);
}

TEST_CASE_FIXTURE(limits_fixture, "response_without_limit_not_recorded")
{
    CHECK_FALSE(this->record(0));
    CHECK(this->tested.recent(this->now).empty());
}

TEST_CASE_FIXTURE(limits_fixture, "limit_without_news_dropped")
{
    CHECK(this->record(rate));
    this->now += 29s;
    CHECK(this->tested.limit_of(limited, this->now) == rate);
    this->now += 1s;
    CHECK(this->tested.limit_of(limited, this->now) == 0);
}

// Reports passed from peer to peer would never end.
TEST_CASE_FIXTURE(limits_fixture, "limit_reported_by_peer_not_passed_on")
{
    CHECK(this->record(rate, 0s, limit_source::peer));
    CHECK(this->tested.recent(this->now).empty());
    CHECK_FALSE(this->record(rate));
    this->now += 1s;
    const auto reports = this->tested.recent(this->now);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().age == 1s);
    this->now += 1s;
    CHECK(this->tested.recent(this->now).empty());
}

// Each entry may exceed its rate by one request, so few have a part.
TEST_CASE("parts_of_announced_limit_add_up_to_it")
{
    for (const double per_second : {0.3, 1.8, 7.0, 40.0}) {
        for (const std::uint32_t entries : {1U, 3U, 9U, 24U}) {
            CAPTURE(per_second);
            CAPTURE(entries);
            int in_steps = 0;
            int at_once = 0;
            for (std::uint32_t rank = 0; rank < entries; ++rank) {
                limits_fixture one;
                one.tested.set_share({rank, entries});
                one.record(per_second);
                one.now += 10s;
                at_once += one.sends_within(5ms);
                in_steps += one.sends_within(20s);
            }
            CHECK(at_once <= std::max(1.0, 2 * per_second));
            CHECK(std::abs(in_steps - 20 * per_second) <= 2 + 2 * per_second);
        }
    }
}

TEST_CASE_FIXTURE(limits_fixture, "entry_without_part_sends_nothing")
{
    this->tested.set_share({});
    CHECK(this->record(rate));
    CHECK(this->sends_within(5s) == 0);
}

TEST_CASE_FIXTURE(limited_upstream_fixture,
                  "announced_limit_kept_until_it_ends")
{
    CHECK(this->sends_within(1s) > 10);
    this->announce(rate);
    REQUIRE(this->last_action<rate_limit_changed>() != nullptr);
    const int sends = this->sends_within(4s);
    CHECK(sends <= 9);
    CHECK(sends >= 6);
    this->announce(rate);
    CHECK(this->last_action<rate_limit_changed>() == nullptr);
    this->announce(0);
    REQUIRE(this->last_action<rate_limit_changed>() != nullptr);
    CHECK(this->sends_within(1s) > 10);
}

TEST_CASE_FIXTURE(limited_upstream_fixture,
                  "requests_beyond_announced_limit_go_to_other_upstreams")
{
    this->join("i-2", "hall");
    this->announce(rate);
    const std::uint64_t before = this->tested.counters().sent;
    CHECK(this->sends_within(4s) <= 9);
    CHECK(this->tested.counters().sent - before == 200);
}

TEST_CASE_FIXTURE(limited_upstream_fixture,
                  "limited_upstream_of_other_data_centre_gets_nothing")
{
    this->tested.upstream_left(limited);
    this->join("i-1", "away");
    CHECK(this->sends_within(1s) > 10);
    this->announce(rate);
    CHECK(this->sends_within(4s) == 0);
}

// The upstream is the same one when its lease lapses and is renewed.
TEST_CASE_FIXTURE(limited_upstream_fixture,
                  "announced_limit_kept_when_upstream_rejoins")
{
    this->announce(rate);
    this->tested.upstream_left(limited);
    this->join("i-1", "hall");
    CHECK(this->sends_within(4s) <= 9);
}

} // namespace greengagedrum::traffic
