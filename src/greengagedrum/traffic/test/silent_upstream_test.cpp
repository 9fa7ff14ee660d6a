// Streams whose upstream falls silent: which of them go on elsewhere, and which
// stay where they are because the upstream may still go on.
#include <greengagedrum/traffic/test/silence_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

} // namespace

// The only upstream pauses for 1.2 s. The stream is cancelled and ends
// unfinished, though the upstream goes on.
TEST_CASE_FIXTURE(silence_fixture,
                  "silent_stream_without_another_upstream_goes_on")
{
    this->upstreams(1, 1);
    const auto id = this->begin();
    this->pause(1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// As above with a second upstream that has no free slot.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_other_upstream_full_goes_on")
{
    this->upstreams(2, 1);
    const auto other = this->arrive(stream_facts());
    const auto other_send = this->sent();
    this->step(events_received{other, other_send.send, 1});
    const auto id = this->begin();
    this->pause(1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// As above with a second upstream that the stream comes from.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_other_upstream_tried_goes_on")
{
    this->upstreams(2, 1);
    const auto id = this->begin();
    this->step(answer_interrupted{id, 1});
    REQUIRE(this->sent().send == 2);
    this->step(events_received{id, 2, this->events});
    this->pause(1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 2));
}

// As above with a free upstream and no attempt left.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_attempts_used_up_goes_on")
{
    this->upstreams(2, 1);
    request_facts facts = resumable_facts();
    facts.attempts_max = 1;
    const auto id = this->begin(facts);
    this->pause(1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// As above with a free upstream and no retry left in the budget.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_retry_budget_used_up_goes_on")
{
    this->upstreams(2, 1);
    this->tested.set_retry_budget({0, 0, 10s});
    const auto id = this->begin();
    this->pause(1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// Two upstreams pause by turns, each for 0.9 s. The stream moves once, and then
// it is cancelled and ends unfinished.
TEST_CASE_FIXTURE(silence_fixture,
                  "stream_upstreams_pausing_by_turns_ends_whole")
{
    this->upstreams(2, 1);
    const request_facts facts = resumable_facts();
    const auto id = this->begin(facts);
    std::uint32_t send = 1;
    for (int turn = 0; turn < 6; ++turn) {
        this->seen.clear();
        this->pause(900ms);
        if (const auto* moved = this->sent_in_pause())
            send = moved->send;
        this->step(events_received{id, send, ++this->events});
    }
    CHECK(this->ends_whole(id, send));
    CHECK(this->tested.counters().sent <= facts.attempts_max);
}

// A stream stays with a silent upstream though another one has a free slot.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_other_upstream_free_moves")
{
    this->upstreams(2, 1);
    this->begin();
    this->pause(740ms);
    CHECK(this->cancelled == 1);
    REQUIRE(this->sent_in_pause() != nullptr);
    CHECK(this->sent_in_pause()->send == 2);
}

// Another upstream gets a free slot in the middle of the silence. The stream is
// cancelled before that, or never.
TEST_CASE_FIXTURE(silence_fixture,
                  "silent_stream_moves_once_another_upstream_is_free")
{
    this->upstreams(2, 1);
    const auto other = this->arrive(stream_facts());
    const auto other_send = this->sent().send;
    this->step(events_received{other, other_send, 1});
    const auto id = this->begin();
    this->pause(1s);
    CHECK(this->cancelled == 0);
    this->answer(other, other_send);
    REQUIRE(this->last_action<cancel_send>() != nullptr);
    CHECK(this->last_action<cancel_send>()->request == id);
    CHECK(this->sent().request == id);
    CHECK(this->sent().send == 2);
}

// A silence that outlier detection counts once for each tick, or not at all
// when the stream stays. Each further report would put off the probe of the
// upstream.
TEST_CASE_FIXTURE(silence_fixture, "silence_without_a_move_is_reported_once")
{
    this->upstreams(2, 1);
    const auto silent = this->arrive(stream_facts());
    const auto upstream = this->sent().upstream;
    this->step(events_received{silent, 1, 1});
    const auto other = this->begin(stream_facts());
    this->keep_going(other, 1, 1200ms);
    CHECK(this->cancelled == 0);
    CHECK(this->suspected == 1);
    this->step(caller_left{silent});
    this->arrive(stream_facts());
    CHECK(this->sent().upstream == upstream);
}

// A silent upstream that never goes on holds the request forever.
TEST_CASE_FIXTURE(silence_fixture, "stream_silent_for_good_ends_by_deadline")
{
    this->upstreams(1, 1);
    this->begin();
    this->pause(12100ms);
    CHECK(this->cancelled == 1);
    CHECK(this->tested.in_flight() == 0);
}

// A stream that waits for another upstream loses its connection. It is queued
// twice, and sent twice once two slots are free.
TEST_CASE_FIXTURE(silence_fixture,
                  "silent_stream_interrupted_is_sent_once_more")
{
    this->upstreams(2, 1);
    const auto other = this->begin(stream_facts());
    const auto id = this->begin();
    this->pause(1s);
    REQUIRE(this->cancelled == 0);
    REQUIRE(this->tested.waiting() == 1);
    this->step(answer_interrupted{id, 1});
    CHECK(this->tested.waiting() == 1);
    this->tested.upstream_joined(upstream_named("i-2", 1), this->now);
    this->tested.upstream_joined(upstream_named("i-3", 1), this->now);
    this->advance(tick);
    CHECK(this->sent().request == id);
    CHECK(this->tested.counters().sent == 3);
    this->advance(tick);
    CHECK(this->last_actions.empty());
    CHECK(this->ends_whole(id, 2));
    this->answer(other, 1);
    CHECK(this->tested.in_flight() == 0);
    CHECK(this->tested.waiting() == 0);
}

// A delegating entry asks for another slot and cancels the send before it has
// one.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "delegated_silent_stream_is_moved_by_the_grant")
{
    const auto id = this->begin_granted();
    this->pause(1s);
    CHECK(this->cancelled == 0);
    CHECK(this->tested.active_sends().size() == 1);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 2);
    CHECK(waiting[0].tried == std::vector{base::upstream_id("i-0")});
    this->grant(id, 2, "i-1");
    REQUIRE(this->last_action<cancel_send>() != nullptr);
    CHECK(this->last_action<cancel_send>()->send == 1);
    CHECK(this->sent().send == 2);
}

// The upstream goes on before the slot is granted. The grant then cancels a
// stream that is well.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "delegated_silent_stream_that_goes_on_asks_no_longer")
{
    const auto id = this->begin_granted();
    this->pause(1s);
    this->step(events_received{id, 1, ++this->events});
    CHECK(this->tested.queued_sends(this->now).empty());
    this->grant(id, 2, "i-1");
    CHECK(this->last_actions.empty());
    CHECK(this->ends_whole(id, 1));
}

// The dispatching entry has no slot for a stream whose upstream goes on later.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "delegated_silent_stream_denied_a_slot_goes_on")
{
    const auto id = this->begin_granted();
    this->pause(1s);
    this->step(slot_denied{id, 2, base::not_run(base::reason::overloaded, 1s)});
    CHECK(this->last_actions.empty());
    CHECK(this->tested.queued_sends(this->now).empty());
    this->pause(300ms);
    CHECK(this->tested.queued_sends(this->now).size() == 1);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

} // namespace greengagedrum::traffic
