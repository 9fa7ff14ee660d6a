// Streams that the entry itself stops reading, since their caller is slow or
// its memory is short.
#include <greengagedrum/traffic/test/silence_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

} // namespace

// The upstream of a slow caller is taken for silent, and its stream moves.
TEST_CASE_FIXTURE(silence_fixture, "stream_whose_reading_is_paused_stays")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    this->step(reading_paused{id, 1});
    this->pause(3s);
    CHECK(this->cancelled == 0);
    CHECK(this->suspected == 0);
    CHECK(this->tested.waiting() == 0);
    this->step(reading_resumed{id, 1});
    this->pause(600ms);
    CHECK(this->suspected == 0);
    CHECK(this->ends_whole(id, 1));
}

// A stream that asks for another slot when its reading pauses takes the slot
// that becomes free.
TEST_CASE_FIXTURE(silence_fixture,
                  "silent_stream_whose_reading_pauses_asks_for_no_other_slot")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    const auto other = this->begin(stream_facts());
    this->pause(800ms);
    REQUIRE(this->tested.waiting() == 1);
    this->step(reading_paused{id, 1});
    CHECK(this->tested.waiting() == 0);
    this->answer(other, 1);
    this->pause(1s);
    CHECK(this->cancelled == 0);
}

// An upstream that falls silent after a pause is never noticed.
TEST_CASE_FIXTURE(silence_fixture,
                  "stream_silent_after_its_reading_resumed_moves")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    this->step(reading_paused{id, 1});
    this->pause(2s);
    this->step(reading_resumed{id, 1});
    this->pause(900ms);
    CHECK(this->cancelled == 1);
}

// The upstream of a slow caller is taken for a slow one.
TEST_CASE_FIXTURE(silence_fixture,
                  "paused_reading_does_not_count_as_gap_between_events")
{
    this->upstreams(1, 1);
    const auto id = this->begin();
    const auto go_on = [&] {
        this->now += 100ms;
        this->step(events_received{id, 1, ++this->events});
    };
    for (int count = 0; count < 5; ++count)
        go_on();
    this->step(reading_paused{id, 1});
    this->pause(4s);
    this->step(reading_resumed{id, 1});
    go_on();
    REQUIRE(this->tested.own_load(this->now).size() == 1);
    CHECK(this->tested.own_load(this->now).front().event_gap <= 110ms);
}

// A request that its slow caller gives up is taken for one that crashed its
// upstream.
TEST_CASE_FIXTURE(silence_fixture,
                  "caller_that_leaves_paused_reading_is_no_sign_of_a_crash")
{
    this->upstreams(1, 1);
    request_facts facts = stream_facts();
    facts.digest = base::request_digest{7};
    const auto id = this->arrive(facts);
    this->step(reading_paused{id, 1});
    this->now += 3s;
    this->step(caller_left{id});
    CHECK(this->last_action<check_upstream>() == nullptr);
}

} // namespace greengagedrum::traffic
