// Quarantine of requests that crash upstreams, at one entry.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct quarantine_fixture : scheduler_fixture {
    request_facts facts = deadly_facts();

    quarantine_fixture() { this->upstreams(4, 2); }

    static request_facts deadly_facts()
    {
        request_facts out = stream_facts();
        out.digest = base::digest_of_request("shop", "POST", "/", "body");
        return out;
    }

    // The upstream that the request was sent to last crashes.
    void end_upstream(base::request_id id)
    {
        const send_request order = this->sent();
        this->tested.upstream_left(order.upstream);
        this->step(answer_interrupted{id, order.send});
    }

    void crash() { this->end_upstream(this->arrive(this->facts)); }
};

} // namespace

TEST_CASE_FIXTURE(quarantine_fixture, "request_crashed_two_upstreams_refused")
{
    this->crash();
    CHECK(this->order<quarantine::quarantine_state_change>()->state ==
          quarantine::quarantine_state::suspected);
    this->crash();
    this->arrive(this->facts);
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::quarantined);
    CHECK(this->verdict().retry_after >= 60s);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "other_request_while_one_quarantined_sent")
{
    this->crash();
    this->crash();
    this->facts.digest = base::digest_of_request("shop", "POST", "/", "other");
    this->arrive(this->facts);
    CHECK(this->order<send_request>() != nullptr);
}

// A malformed answer does not count as a crash.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "malformed_answers_repeated_not_quarantined")
{
    for (int time = 0; time < 3; ++time) {
        const base::request_id id = this->arrive(this->facts);
        this->step(answer_interrupted{
            id, this->sent().send, interruption_cause::malformed});
    }
    this->arrive(this->facts);
    CHECK(this->order<send_request>() != nullptr);
}

// Of several copies that arrive together, only one runs at a time after the
// first crash.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "suspect_several_copies_run_one_at_a_time")
{
    this->crash();
    const base::request_id first = this->arrive(this->facts);
    const send_request sent_first = this->sent();
    this->arrive(this->facts);
    this->arrive(this->facts);
    CHECK(this->order<send_request>() == nullptr);
    this->tested.upstream_left(sent_first.upstream);
    this->step(answer_interrupted{first, sent_first.send});
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
    CHECK(this->tested.waiting() == 0);
}

TEST_CASE_FIXTURE(quarantine_fixture, "suspect_answered_copies_sent")
{
    this->crash();
    const base::request_id first = this->arrive(this->facts);
    const std::uint32_t send = this->sent().send;
    this->arrive(this->facts);
    this->answer(first, send);
    CHECK(this->order<send_request>() != nullptr);
}

// One repeatable request is retried from upstream to upstream and crashes each.
TEST_CASE_FIXTURE(quarantine_fixture, "repeatable_request_second_crash_ends_it")
{
    this->facts.retry = routing::retry_policy::idempotent;
    this->facts.attempts_max = 4;
    const base::request_id id = this->arrive(this->facts);
    this->end_upstream(id);
    this->end_upstream(id);
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

// A host loses power while it runs the request, so no connection is closed.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "upstreams_lost_power_request_quarantined")
{
    for (int time = 0; time < 2; ++time) {
        const base::request_id id = this->arrive(this->facts);
        const base::upstream_id upstream = this->sent().upstream;
        this->pass(2s);
        this->step(caller_left{id});
        REQUIRE(this->order<check_upstream>() != nullptr);
        this->step(upstream_checked{upstream, false});
        this->tested.upstream_left(upstream);
    }
    this->arrive(this->facts);
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

// Callers disconnect early, or while their upstream answers other requests.
TEST_CASE_FIXTURE(quarantine_fixture, "caller_left_live_upstream_no_suspect")
{
    const base::request_id first = this->arrive(this->facts);
    this->pass(500ms);
    this->step(caller_left{first});
    CHECK(this->order<check_upstream>() == nullptr);
    const base::request_id second = this->arrive(this->facts);
    const send_request order = this->sent();
    this->pass(500ms);
    this->step(events_received{second, order.send, 1});
    this->pass(1500ms);
    this->step(caller_left{second});
    CHECK(this->order<check_upstream>() == nullptr);
}

// A queued request is refused as soon as a peer's message quarantines it.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "queued_request_quarantined_by_peer_refused")
{
    for (int number = 0; number < 8; ++number)
        this->arrive(stream_facts());
    this->arrive(this->facts);
    REQUIRE(this->tested.waiting() == 1);
    const std::vector<quarantine::suspect_report> told = {
        {this->facts.digest,
         {},
         {{base::upstream_id("x"), 1s}, {base::upstream_id("y"), 1s}},
         {},
         {}}};
    this->tested.crash_suspects().merge(told, this->now);
    this->pass(5ms);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::quarantined);
}

// Another entry grants a slot to a request that has been quarantined meanwhile.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "slot_granted_request_quarantined_not_used")
{
    this->tested.set_delegating(true);
    const base::request_id id = this->arrive(this->facts);
    const std::vector<quarantine::suspect_report> told = {
        {this->facts.digest,
         {},
         {{base::upstream_id("x"), 1s}, {base::upstream_id("y"), 1s}},
         {},
         {}}};
    this->tested.crash_suspects().merge(told, this->now);
    this->step(slot_granted{id, 1, base::upstream_id("i-0")});
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

TEST_CASE_FIXTURE(quarantine_fixture, "trial_after_the_pause_sent_once")
{
    this->crash();
    this->crash();
    this->pass(121s);
    this->arrive(this->facts);
    CHECK(this->order<send_request>() != nullptr);
    this->arrive(this->facts);
    CHECK(this->order<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

} // namespace greengagedrum::traffic
