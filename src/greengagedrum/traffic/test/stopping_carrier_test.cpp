// Streams that run through a peer which stops.
#include <greengagedrum/traffic/test/silence_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

} // namespace

// The stream is cut as the peer's process exits.
TEST_CASE_FIXTURE(silence_fixture, "stream_whose_carrier_stops_moves_at_once")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    this->step(carrier_stopping{id, 1});
    REQUIRE(this->last_action<cancel_send>() != nullptr);
    CHECK(this->last_action<cancel_send>()->cause ==
          cancel_cause::carrier_stopping);
    CHECK(this->sent().send == 2);
    CHECK(this->suspected == 0);
    CHECK(this->ends_whole(id, 2));
}

// The stream is given up for a slot that there isn't, or no longer asks for one
// once its next events come.
TEST_CASE_FIXTURE(silence_fixture,
                  "stream_whose_carrier_stops_goes_on_until_there_is_a_slot")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    const auto other = this->begin(stream_facts());
    this->step(carrier_stopping{id, 1});
    this->keep_going(id, 1, 1s);
    CHECK(this->cancelled == 0);
    CHECK(this->tested.waiting() == 1);
    this->answer(other, 1);
    REQUIRE(this->last_action<cancel_send>() != nullptr);
    CHECK(this->last_action<cancel_send>()->request == id);
    CHECK(this->sent().send == 2);
}

// A stream that may run only once is sent twice.
TEST_CASE_FIXTURE(silence_fixture,
                  "at_most_once_stream_whose_carrier_stops_goes_on")
{
    this->upstreams(2, 1);
    const auto id = this->begin(stream_facts());
    this->step(carrier_stopping{id, 1});
    this->pause(500ms);
    CHECK(this->cancelled == 0);
    CHECK(this->tested.waiting() == 0);
    CHECK(this->ends_whole(id, 1));
}

} // namespace greengagedrum::traffic
