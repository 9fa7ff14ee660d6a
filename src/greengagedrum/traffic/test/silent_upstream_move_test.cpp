// Moves of silent streams that fail or must not happen.
#include <greengagedrum/traffic/test/silence_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct move_fixture : silence_fixture {
    // A stream that has moved away from its silent upstream by its second send.
    base::request_id begin_moved(std::uint32_t attempts_max)
    {
        this->upstreams(2, 1);
        request_facts facts = resumable_facts();
        facts.attempts_max = attempts_max;
        const auto id = this->arrive(facts);
        this->left = this->sent().upstream;
        this->step(events_received{id, 1, this->events});
        this->pause(740ms);
        REQUIRE(this->sent_in_pause() != nullptr);
        REQUIRE(this->sent_in_pause()->send == 2);
        this->seen.clear();
        return id;
    }

    // The stream is sent to the upstream that it has left, and ends there.
    void check_resumes_where_it_was(base::request_id id)
    {
        this->seen = this->last_actions;
        this->pause(500ms);
        REQUIRE(this->sent_in_pause() != nullptr);
        CHECK(this->sent_in_pause()->send == 3);
        CHECK(this->sent_in_pause()->upstream == this->left);
        CHECK(this->ends_whole(id, 3));
    }

    // Leaves an upstream suspected and free, and a stream at another one.
    base::request_id begin_beside_suspected()
    {
        const auto id = this->begin();
        const auto other = this->arrive(stream_facts());
        this->suspect = this->sent().upstream;
        this->step(events_received{other, 1, 1});
        this->keep_going(id, 1, 800ms);
        REQUIRE(this->suspected == 1);
        this->step(caller_left{other});
        this->keep_going(id, 1, 400ms);
        return id;
    }

    base::upstream_id left;
    base::upstream_id suspect;
};

} // namespace

// The replacement refuses the connect. The stream is not sent again and ends at
// its deadline, though the upstream that it has left goes on.
TEST_CASE_FIXTURE(move_fixture,
                  "moved_stream_replacement_unreachable_resumes_where_it_was")
{
    const auto id = this->begin_moved(3);
    this->step(connect_failed{id, 2});
    this->check_resumes_where_it_was(id);
}

// The replacement rejects the stream, which ends at once for want of an
// attempt.
TEST_CASE_FIXTURE(move_fixture,
                  "moved_stream_replacement_rejects_resumes_where_it_was")
{
    const auto id = this->begin_moved(2);
    this->step(send_rejected{id, 2});
    this->check_resumes_where_it_was(id);
}

// A second replacement rejects the stream too, which then ends at once.
TEST_CASE_FIXTURE(move_fixture,
                  "moved_stream_two_replacements_reject_resumes_where_it_was")
{
    const auto id = this->begin_moved(2);
    this->tested.upstream_joined(upstream_named("i-2", 1), this->now);
    this->step(send_rejected{id, 2});
    REQUIRE(this->sent().send == 3);
    REQUIRE(this->sent().upstream == base::upstream_id("i-2"));
    this->step(send_rejected{id, 3});
    this->seen = this->last_actions;
    this->pause(500ms);
    REQUIRE(this->sent_in_pause() != nullptr);
    CHECK(this->sent_in_pause()->upstream == this->left);
    CHECK(this->ends_whole(id, 4));
}

// The replacement refuses the connect, and the dispatching entry has no other
// slot yet. The stream ends at once as overloaded.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "delegated_moved_stream_denied_a_slot_asks_again")
{
    const auto id = this->begin_granted();
    this->pause(1s);
    this->grant(id, 2, "i-1");
    this->step(connect_failed{id, 2});
    this->step(slot_denied{id, 3, base::not_run(base::reason::overloaded, 1s)});
    CHECK(this->last_action<end_request>() == nullptr);
    CHECK(this->tested.queued_sends(this->now).empty());
    this->pause(300ms);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 3);
    CHECK(waiting[0].tried == std::vector{base::upstream_id("i-1")});
    this->grant(id, 3, "i-0");
    CHECK(this->sent().send == 3);
    CHECK(this->ends_whole(id, 3));
}

// As above, and no slot is ever granted: the request is held forever.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "delegated_moved_stream_denied_for_good_ends_by_deadline")
{
    const auto id = this->begin_granted();
    this->pause(1s);
    this->grant(id, 2, "i-1");
    this->step(connect_failed{id, 2});
    const base::verdict denial = base::not_run(base::reason::overloaded, 1s);
    std::size_t asked = 0;
    for (int turn = 0; turn < 20; ++turn) {
        asked += this->tested.queued_sends(this->now).size();
        this->step(slot_denied{id, 3, denial});
        this->pause(500ms);
    }
    CHECK(asked == 20);
    CHECK(this->tested.in_flight() == 1);
    this->pause(1500ms);
    CHECK(this->tested.in_flight() == 0);
    CHECK(this->tested.waiting() == 0);
}

// The only upstream answers with an error, and the request waits for another
// one until its deadline.
TEST_CASE_FIXTURE(silence_fixture,
                  "unsuccessful_answer_without_another_upstream_is_delivered")
{
    this->upstreams(1, 1);
    const auto id = this->arrive(resumable_facts());
    this->advance(200ms);
    this->answer(id, 1, false);
    REQUIRE(this->last_action<deliver_answer>() != nullptr);
    CHECK(this->last_action<deliver_answer>()->request == id);
    CHECK(this->tested.in_flight() == 0);
}

// A silent stream is cancelled shortly before the stop of its entry, sent anew
// and cut by the stop.
TEST_CASE_FIXTURE(silence_fixture, "silent_stream_that_outlasts_the_stop_stays")
{
    this->upstreams(2, 1);
    const auto served = this->arrive(resumable_facts());
    this->now += 1s;
    this->answer(served, 1);
    const auto id = this->begin();
    this->tested.set_stop_time(this->now + 900ms);
    this->pause(800ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// A silent stream waits for a slot, and its upstream goes on with another
// request just before there is one. A stream of a sound upstream is cancelled.
TEST_CASE_FIXTURE(silence_fixture,
                  "silent_stream_whose_upstream_goes_on_before_the_slot_stays")
{
    this->upstreams(1, 2);
    const auto id = this->begin();
    const auto neighbour = this->begin();
    this->tested.upstream_joined(upstream_named("i-1", 1), this->now);
    const auto other = this->begin(stream_facts());
    this->pause(1s);
    REQUIRE(this->tested.waiting() == 2);
    this->step(events_received{neighbour, 1, ++this->events});
    this->answer(other, 1);
    CHECK(this->last_action<cancel_send>() == nullptr);
    CHECK(this->ends_whole(id, 1));
}

// As above for a slot that the dispatching entry grants.
TEST_CASE_FIXTURE(delegating_silence_fixture,
                  "granted_move_of_stream_whose_upstream_goes_on_is_not_used")
{
    this->upstreams(2, 2);
    const auto id = this->begin_granted();
    this->begin_granted();
    this->pause(1s);
    REQUIRE(this->tested.queued_sends(this->now).size() == 2);
    this->step(events_received{base::request_id{2}, 1, ++this->events});
    this->grant(id, 2, "i-1");
    CHECK(this->last_actions.empty());
    CHECK(this->tested.queued_sends(this->now).empty());
    CHECK(this->ends_whole(id, 1));
}

// A silent stream is cancelled to probe an upstream that is itself suspected.
TEST_CASE_FIXTURE(move_fixture, "silent_stream_other_upstream_suspected_stays")
{
    this->upstreams(2, 1);
    const auto id = this->begin_beside_suspected();
    this->pause(900ms);
    CHECK(this->cancelled == 0);
    CHECK(this->ends_whole(id, 1));
}

// As above with a third upstream, which is sound but comes after the probe.
TEST_CASE_FIXTURE(move_fixture, "silent_stream_moves_to_no_suspected_upstream")
{
    this->upstreams(3, 1);
    this->begin_beside_suspected();
    this->pause(900ms);
    REQUIRE(this->sent_in_pause() != nullptr);
    CHECK(this->sent_in_pause()->upstream != this->suspect);
}

} // namespace greengagedrum::traffic
