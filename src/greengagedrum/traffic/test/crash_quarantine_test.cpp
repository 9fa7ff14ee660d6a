// Quarantine of requests that crash upstreams, at one entry.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct quarantine_fixture : scheduler_fixture {
    request_facts facts = crashing_facts();

    quarantine_fixture() { this->upstreams(4, 2); }

    static request_facts crashing_facts()
    {
        request_facts out = stream_facts();
        out.digest = base::digest_of_request("shop", "POST", "/", "body");
        return out;
    }

    // Crashes the upstream of the latest send, which is one of request `id`.
    void crash_upstream_of(base::request_id id)
    {
        const send_request latest_send = this->sent();
        this->tested.upstream_left(latest_send.upstream);
        this->step(answer_interrupted{id, latest_send.send});
    }

    void arrive_and_crash()
    {
        this->crash_upstream_of(this->arrive(this->facts));
    }
};

} // namespace

TEST_CASE_FIXTURE(quarantine_fixture, "request_crashed_two_upstreams_refused")
{
    this->arrive_and_crash();
    CHECK(this->last_action<quarantine::quarantine_state_change>()->state ==
          quarantine::quarantine_state::suspected);
    this->arrive_and_crash();
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::quarantined);
    CHECK(this->verdict().retry_after >= 60s);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "other_request_while_one_quarantined_sent")
{
    this->arrive_and_crash();
    this->arrive_and_crash();
    this->facts.digest = base::digest_of_request("shop", "POST", "/", "other");
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() != nullptr);
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
    CHECK(this->last_action<send_request>() != nullptr);
}

// After the first crash, only one of several copies runs at a time. The second
// crash refuses the queued copies.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "suspected_request_copies_run_one_at_a_time")
{
    this->arrive_and_crash();
    const base::request_id first = this->arrive(this->facts);
    const send_request sent_first = this->sent();
    this->arrive(this->facts);
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() == nullptr);
    this->tested.upstream_left(sent_first.upstream);
    this->step(answer_interrupted{first, sent_first.send});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
    CHECK(this->tested.waiting() == 0);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "suspected_request_answered_next_copy_sent")
{
    this->arrive_and_crash();
    const base::request_id first = this->arrive(this->facts);
    const std::uint32_t send = this->sent().send;
    this->arrive(this->facts);
    this->answer(first, send);
    CHECK(this->last_action<send_request>() != nullptr);
}

// An idempotent request crashes its first upstream, is retried, and crashes the
// second one too. It ends although attempts are left.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "idempotent_request_second_crash_not_retried")
{
    this->facts.retry = routing::retry_policy::idempotent;
    this->facts.attempts_max = 4;
    const base::request_id id = this->arrive(this->facts);
    this->crash_upstream_of(id);
    this->crash_upstream_of(id);
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

// Two hosts in turn lose power while they run the request, so no connection is
// closed. The check after the caller has left finds the upstream dead.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "upstreams_lost_power_request_quarantined")
{
    for (int time = 0; time < 2; ++time) {
        const base::request_id id = this->arrive(this->facts);
        const base::upstream_id upstream = this->sent().upstream;
        this->advance(2s);
        this->step(caller_left{id});
        REQUIRE(this->last_action<check_upstream>() != nullptr);
        this->step(upstream_checked{upstream, false});
        this->tested.upstream_left(upstream);
    }
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

// The first caller leaves 0.5 s after its send, the second one 1.5 s after the
// first event of its stream. Neither causes a check of the upstream.
TEST_CASE_FIXTURE(quarantine_fixture, "caller_left_live_upstream_not_checked")
{
    const base::request_id first = this->arrive(this->facts);
    this->advance(500ms);
    this->step(caller_left{first});
    CHECK(this->last_action<check_upstream>() == nullptr);
    const base::request_id second = this->arrive(this->facts);
    const send_request latest_send = this->sent();
    this->advance(500ms);
    this->step(events_received{second, latest_send.send, 1});
    this->advance(1500ms);
    this->step(caller_left{second});
    CHECK(this->last_action<check_upstream>() == nullptr);
}

// A queued request is refused as soon as a peer's message quarantines it.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "queued_request_quarantined_by_peer_refused")
{
    for (int number = 0; number < 8; ++number)
        this->arrive(stream_facts());
    this->arrive(this->facts);
    REQUIRE(this->tested.waiting() == 1);
    const std::vector<quarantine::suspect_report> reports = {
        {this->facts.digest,
         {},
         {{base::upstream_id("x"), 1s}, {base::upstream_id("y"), 1s}},
         {},
         {}}};
    this->tested.crash_suspects().merge(reports, this->now);
    this->advance(5ms);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::quarantined);
}

// Another entry grants a slot to a request that has been quarantined meanwhile.
TEST_CASE_FIXTURE(quarantine_fixture,
                  "slot_granted_request_quarantined_not_used")
{
    this->tested.set_delegating(true);
    const base::request_id id = this->arrive(this->facts);
    const std::vector<quarantine::suspect_report> reports = {
        {this->facts.digest,
         {},
         {{base::upstream_id("x"), 1s}, {base::upstream_id("y"), 1s}},
         {},
         {}}};
    this->tested.crash_suspects().merge(reports, this->now);
    this->step(slot_granted{id, 1, base::upstream_id("i-0")});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantined_request_after_two_minutes_tried_once")
{
    this->arrive_and_crash();
    this->arrive_and_crash();
    this->advance(121s);
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() != nullptr);
    this->arrive(this->facts);
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

namespace
{

// Requests that are no two alike and share a part of their prompts.
struct prompt_part_fixture : quarantine_fixture {
    int requests = 0;

    static base::request_digest part(const std::string& id)
    {
        return base::digest_of_prompt_part(engines, id);
    }

    base::request_id arrive_with(const std::vector<std::string>& parts)
    {
        this->facts.digest = base::digest_of_request(
            "shop", "POST", "/", std::to_string(++this->requests));
        this->facts.prompt_parts.clear();
        for (const std::string& one : parts)
            this->facts.prompt_parts.push_back(part(one));
        return this->arrive(this->facts);
    }

    void crash_with(const std::vector<std::string>& parts)
    {
        const base::request_id id = this->arrive_with(parts);
        const base::upstream_id upstream = this->sent().upstream;
        this->crash_upstream_of(id);
        this->step(upstream_checked{upstream, false});
        this->advance(1s);
    }

    void answer_with(const std::vector<std::string>& parts)
    {
        const base::request_id id = this->arrive_with(parts);
        this->answer(id, this->sent().send);
    }
};

} // namespace

// Distinct requests with one part crash one upstream after the other.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "distinct_requests_with_a_crashing_part_refused")
{
    this->upstreams(12, 2);
    for (int time = 0; time < 2; ++time) {
        this->crash_with({"first", "poison"});
        this->answer_with({"first", "other"});
    }
    this->arrive_with({"first", "poison"});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::quarantined);
    this->arrive_with({"first", "other"});
    CHECK(this->last_action<send_request>() != nullptr);
}

// Streams that were under way when their upstream crashed would be suspected.
TEST_CASE_FIXTURE(prompt_part_fixture, "stream_with_events_is_no_suspect")
{
    this->upstreams(12, 2);
    for (int time = 0; time < 3; ++time) {
        const base::request_id id = this->arrive_with({"bystander"});
        const send_request send = this->sent();
        this->step(events_received{id, send.send, 1});
        this->now += 300ms;
        this->step(events_received{id, send.send, 2});
        this->tested.upstream_left(send.upstream);
        this->step(answer_interrupted{id, send.send});
        this->step(upstream_checked{send.upstream, false});
        this->advance(1s);
    }
    this->arrive_with({"bystander"});
    CHECK(this->last_action<send_request>() != nullptr);
}

// A caller waits for parts of its prompt that are cleared within moments.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "request_with_a_suspected_part_waits_for_the_running_one")
{
    this->upstreams(12, 2);
    this->crash_with({"rare"});
    const base::request_id running = this->arrive_with({"rare"});
    const send_request send = this->sent();
    this->arrive_with({"rare"});
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(events_received{running, send.send, 1});
    this->now += 300ms;
    this->step(events_received{running, send.send, 2});
    CHECK(this->last_action<send_request>() != nullptr);
}

// An error response is written before an answer to the prompt is begun, so it
// would clear the part at all entries.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "part_trial_answered_with_an_error_stays_quarantined")
{
    this->upstreams(12, 2);
    for (const bool successful : {true, false}) {
        const std::string poison = successful ? "poison-4xx" : "poison-5xx";
        this->crash_with({poison});
        this->crash_with({poison});
        this->advance(5s);
        const base::request_id trial = this->arrive_with({poison});
        this->step(
            answer_received{trial, this->sent().send, successful, false});
        this->arrive_with({poison});
        CHECK(this->last_action<send_request>() == nullptr);
        CHECK(this->last_action<end_request>() != nullptr);
    }
}

// The connection of a stream that stalls after its first events is closed only
// after its upstream's core dump, so the part would never be blamed.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "stream_stalled_before_the_crash_is_a_suspect")
{
    this->upstreams(12, 2);
    for (int time = 0; time < 2; ++time) {
        const base::request_id id = this->arrive_with({"poison"});
        const send_request send = this->sent();
        this->step(events_received{id, send.send, 2});
        this->now += 300ms;
        this->tested.upstream_left(send.upstream);
        this->step(answer_interrupted{id, send.send});
        this->step(upstream_checked{send.upstream, false});
        this->advance(1s);
    }
    this->arrive_with({"poison"});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().why == base::reason::quarantined);
}

// A stalled stream may be about to lose its upstream, and another request with
// the suspected part would end a second one.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "request_with_a_suspected_part_waits_for_the_stalled_one")
{
    this->upstreams(12, 2);
    this->crash_with({"rare"});
    const base::request_id running = this->arrive_with({"rare"});
    this->step(events_received{running, this->sent().send, 2});
    this->now += 300ms;
    this->arrive_with({"rare"});
    CHECK(this->last_action<send_request>() == nullptr);
}

// The trial would be refused because of itself, and all later ones until it
// times out.
TEST_CASE_FIXTURE(prompt_part_fixture,
                  "trial_that_did_not_connect_sent_to_another_upstream")
{
    this->upstreams(12, 2);
    this->crash_with({"rare"});
    this->crash_with({"rare"});
    this->advance(4s);
    const base::request_id trial = this->arrive_with({"rare"});
    const send_request first = this->sent();
    this->step(connect_failed{trial, first.send});
    REQUIRE(this->last_action<send_request>() != nullptr);
    const send_request second = this->sent();
    CHECK(second.request == trial);
    CHECK(second.upstream != first.upstream);
    this->answer(trial, second.send);
    this->arrive_with({"rare"});
    CHECK(this->last_action<send_request>() != nullptr);
}

// Requests would be refused until the trial times out, though nothing runs.
TEST_CASE_FIXTURE(prompt_part_fixture, "trial_that_was_rejected_next_one_sent")
{
    this->upstreams(12, 2);
    this->crash_with({"rare"});
    this->crash_with({"rare"});
    this->advance(4s);
    const base::request_id trial = this->arrive_with({"rare"});
    this->step(send_rejected{trial, this->sent().send, rejection::not_run});
    REQUIRE(this->verdict().why == base::reason::overloaded);
    this->arrive_with({"rare"});
    CHECK(this->last_action<send_request>() != nullptr);
}

} // namespace greengagedrum::traffic
