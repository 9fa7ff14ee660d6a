// A scheduler that delegates dispatching its requests to another entry.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_id engine("i-0");

struct delegating_fixture : scheduler_fixture {
    delegating_fixture()
    {
        this->upstreams(1, 1);
        this->tested.set_delegating(true);
    }

    slot_granted granted(base::request_id id, std::uint32_t send = 1)
    {
        slot_granted out;
        out.request = id;
        out.send = send;
        out.upstream = engine;
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(delegating_fixture, "request_slot_granted_sent")
{
    const auto id = this->arrive(stream_facts());
    CHECK(this->order<send_request>() == nullptr);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 1);
    CHECK(waiting[0].facts.delegated);
    this->step(this->granted(id));
    REQUIRE(this->order<send_request>() != nullptr);
    CHECK(this->tested.queued_sends(this->now).empty());
    CHECK(this->tested.active_sends().size() == 1);
}

// The reply that grants the slot arrives twice, since it crossed a report. A
// request that must not run twice is sent once.
TEST_CASE_FIXTURE(delegating_fixture, "slot_granted_twice_used_once")
{
    request_facts once = stream_facts();
    once.retry = routing::retry_policy::at_most_once;
    const auto id = this->arrive(once);
    this->step(this->granted(id));
    this->step(this->granted(id));
    CHECK(this->order<send_request>() == nullptr);
    this->step(answer_interrupted{id, 1});
    this->step(this->granted(id, 2));
    CHECK(this->order<send_request>() == nullptr);
}

TEST_CASE_FIXTURE(delegating_fixture, "slot_of_an_earlier_send_not_used")
{
    const auto id = this->arrive(stream_facts());
    this->step(this->granted(id));
    this->step(connect_failed{id, 1});
    CHECK(this->tested.queued_sends(this->now).at(0).send == 2);
    this->step(this->granted(id, 1));
    CHECK(this->order<send_request>() == nullptr);
    this->step(this->granted(id, 2));
    CHECK(this->order<send_request>() != nullptr);
}

// This entry knows already that an upstream has left; the dispatching entry
// does not. The upstream gets no new request.
TEST_CASE_FIXTURE(delegating_fixture, "slot_upstream_departed_not_used")
{
    const auto id = this->arrive(stream_facts());
    this->tested.upstream_joined(upstream_named("i-1", 1), this->now);
    this->tested.upstream_left(engine);
    this->step(this->granted(id));
    CHECK(this->order<send_request>() == nullptr);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 2);
    CHECK(waiting[0].tried == std::vector{engine});
}

TEST_CASE_FIXTURE(delegating_fixture, "request_denied_refused_with_retry_delay")
{
    const auto id = this->arrive(stream_facts());
    this->step(
        slot_denied{id, 1, base::not_run(base::reason::limit_reached, 3s)});
    const auto* end = this->order<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.run == base::run_state::not_run);
    CHECK(end->verdict.retry_after == 3s);
}

// The first send may have run the request, so a later denial must not end it as
// "not run".
TEST_CASE_FIXTURE(delegating_fixture, "denial_after_a_send_may_have_run")
{
    request_facts again = stream_facts();
    again.retry = routing::retry_policy::idempotent;
    again.attempts_max = 2;
    const auto id = this->arrive(again);
    this->step(this->granted(id));
    this->step(answer_interrupted{id, 1});
    this->step(slot_denied{id, 2, base::not_run(base::reason::overloaded, 1s)});
    const auto* end = this->order<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.run == base::run_state::may_have_run);
}

// Without a reply, the request is refused in time by this entry itself.
TEST_CASE_FIXTURE(delegating_fixture, "request_without_reply_refused_in_time")
{
    this->arrive(stream_facts());
    this->pass(3500ms);
    REQUIRE(this->order<end_request>() != nullptr);
}

TEST_CASE_FIXTURE(delegating_fixture,
                  "entry_dispatching_again_sends_queued_requests")
{
    this->arrive(stream_facts());
    this->tested.set_delegating(false);
    this->pass(1ms);
    CHECK(this->order<send_request>() != nullptr);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "delegated_request_interrupted_not_retried")
{
    this->upstreams(2, 1);
    request_facts facts = stream_facts();
    facts.delegated = true;
    facts.first_event_timeout = 2s;
    facts.retry = routing::retry_policy::idempotent;
    const auto id = this->arrive(facts);
    REQUIRE(this->order<send_request>() != nullptr);
    this->step(answer_interrupted{id, 1});
    CHECK(this->order<send_request>() == nullptr);
    const auto second = this->arrive(facts);
    this->step(connect_failed{second, 1});
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->tested.in_flight() == 0);
}

// Only the first event of a delegated stream is reported. Its upstream does not
// count as silent because of that.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "delegated_stream_without_events_not_silent")
{
    this->upstreams(1, 2);
    request_facts facts = stream_facts();
    facts.delegated = true;
    facts.first_event_timeout = 2s;
    const auto id = this->arrive(facts);
    this->step(events_received{id, 1, 1});
    for (int count = 0; count < 20; ++count) {
        this->pass(300ms);
        CHECK(this->order<suspicion_changed>() == nullptr);
        CHECK(this->order<cancel_send>() == nullptr);
    }
}

} // namespace greengagedrum::traffic
