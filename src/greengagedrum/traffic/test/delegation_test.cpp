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

TEST_CASE_FIXTURE(delegating_fixture, "queued_request_slot_granted_sent")
{
    const auto id = this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() == nullptr);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 1);
    CHECK(waiting[0].facts.delegated);
    this->step(this->granted(id));
    REQUIRE(this->last_action<send_request>() != nullptr);
    CHECK(this->tested.queued_sends(this->now).empty());
    CHECK(this->tested.active_sends().size() == 1);
}

// The grant arrives twice, because the first one crossed a report that still
// listed the request as queued. An at-most-once request is sent once, and a
// grant after its interruption is not used either.
TEST_CASE_FIXTURE(delegating_fixture, "slot_granted_twice_used_once")
{
    request_facts facts = stream_facts();
    facts.retry = routing::retry_policy::at_most_once;
    const auto id = this->arrive(facts);
    this->step(this->granted(id));
    this->step(this->granted(id));
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(answer_interrupted{id, 1});
    this->step(this->granted(id, 2));
    CHECK(this->last_action<send_request>() == nullptr);
}

TEST_CASE_FIXTURE(delegating_fixture, "slot_granted_to_earlier_send_not_used")
{
    const auto id = this->arrive(stream_facts());
    this->step(this->granted(id));
    this->step(connect_failed{id, 1});
    CHECK(this->tested.queued_sends(this->now).at(0).send == 2);
    this->step(this->granted(id, 1));
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(this->granted(id, 2));
    CHECK(this->last_action<send_request>() != nullptr);
}

// This entry knows already that an upstream has left; the dispatching entry
// does not. The upstream gets no new request.
TEST_CASE_FIXTURE(delegating_fixture, "slot_on_departed_upstream_not_used")
{
    const auto id = this->arrive(stream_facts());
    this->tested.upstream_joined(upstream_named("i-1", 1), this->now);
    this->tested.upstream_left(engine);
    this->step(this->granted(id));
    CHECK(this->last_action<send_request>() == nullptr);
    const auto waiting = this->tested.queued_sends(this->now);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].send == 2);
    CHECK(waiting[0].tried == std::vector{engine});
}

// Failure guarded against: a grant that was meant for another request runs this
// one at a service that its route doesn't lead to.
TEST_CASE_FIXTURE(delegating_fixture,
                  "slot_on_upstream_of_other_service_not_used")
{
    routing::published_upstream other = upstream_named("b-0", 1);
    other.service = base::upstream_class_id("bookings");
    this->tested.upstream_joined(other, this->now);
    const auto id = this->arrive(stream_facts());
    slot_granted wrong = this->granted(id);
    wrong.upstream = other.id;
    this->step(wrong);
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(this->granted(id, 2));
    CHECK(this->last_action<send_request>() != nullptr);
}

TEST_CASE_FIXTURE(delegating_fixture, "request_denied_refused_with_retry_delay")
{
    const auto id = this->arrive(stream_facts());
    this->step(
        slot_denied{id, 1, base::not_run(base::reason::limit_reached, 3s)});
    const auto* end = this->last_action<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.run == base::run_state::not_run);
    CHECK(end->verdict.retry_after == 3s);
}

// The first send may have run the request, so a later denial must not end it as
// "not run".
TEST_CASE_FIXTURE(delegating_fixture,
                  "request_denied_after_interruption_may_have_run")
{
    request_facts facts = stream_facts();
    facts.retry = routing::retry_policy::idempotent;
    facts.attempts_max = 2;
    const auto id = this->arrive(facts);
    this->step(this->granted(id));
    this->step(answer_interrupted{id, 1});
    this->step(slot_denied{id, 2, base::not_run(base::reason::overloaded, 1s)});
    const auto* end = this->last_action<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.run == base::run_state::may_have_run);
}

// Without a reply, the request is refused in time by this entry itself.
TEST_CASE_FIXTURE(delegating_fixture, "request_without_reply_refused_in_time")
{
    this->arrive(stream_facts());
    this->advance(3500ms);
    REQUIRE(this->last_action<end_request>() != nullptr);
}

TEST_CASE_FIXTURE(delegating_fixture, "delegation_ended_queued_request_sent")
{
    this->arrive(stream_facts());
    this->tested.set_delegating(false);
    this->advance(1ms);
    CHECK(this->last_action<send_request>() != nullptr);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "delegated_request_send_failed_not_retried")
{
    this->upstreams(2, 1);
    request_facts facts = stream_facts();
    facts.delegated = true;
    facts.first_event_timeout = 2s;
    facts.retry = routing::retry_policy::idempotent;
    const auto id = this->arrive(facts);
    REQUIRE(this->last_action<send_request>() != nullptr);
    this->step(answer_interrupted{id, 1});
    CHECK(this->last_action<send_request>() == nullptr);
    const auto second = this->arrive(facts);
    this->step(connect_failed{second, 1});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->tested.in_flight() == 0);
}

// Only the first event of a delegated stream is reported. Its upstream does not
// count as silent because of that.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "delegated_stream_without_further_events_not_silent")
{
    this->upstreams(1, 2);
    request_facts facts = stream_facts();
    facts.delegated = true;
    facts.first_event_timeout = 2s;
    const auto id = this->arrive(facts);
    this->step(events_received{id, 1, 1});
    for (int count = 0; count < 20; ++count) {
        this->advance(300ms);
        CHECK(this->last_action<suspicion_changed>() == nullptr);
        CHECK(this->last_action<cancel_send>() == nullptr);
    }
}

} // namespace greengagedrum::traffic
