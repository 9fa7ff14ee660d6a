// The course of one request: when it is retried, when it must not be, and which
// verdict its caller gets.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

request_facts facts_of(routing::retry_policy retry, std::uint32_t attempts_max)
{
    request_facts out = stream_facts();
    out.retry = retry;
    out.attempts_max = attempts_max;
    return out;
}

constexpr auto idempotent = routing::retry_policy::idempotent;
constexpr auto at_most_once = routing::retry_policy::at_most_once;
constexpr auto resumable = routing::retry_policy::resumable;

} // namespace

TEST_CASE_FIXTURE(scheduler_fixture, "request_with_a_free_slot_sent_at_once")
{
    this->upstreams(2, 5);
    const auto id = this->arrive(stream_facts());
    CHECK(this->sent().request == id);
    this->answer(id, this->sent().send);
    CHECK(this->last_action<deliver_answer>()->request == id);
    CHECK(this->tested.in_flight() == 0);
}

// A request that must run at most once is sent, and its connection is reset. It
// may have run; a second send could run it twice.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "at_most_once_request_interrupted_not_retried")
{
    this->upstreams(3, 5);
    const auto id = this->arrive(facts_of(at_most_once, 3));
    this->step(answer_interrupted{id, this->sent().send});
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

// The upstream guarantees that it did not run the request, so a request of any
// kind is retried elsewhere.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "rejected_request_sent_to_another_upstream")
{
    this->upstreams(3, 5);
    const auto id = this->arrive(facts_of(at_most_once, 2));
    const auto first = this->sent().upstream;
    this->step(send_rejected{id, this->sent().send, rejection::not_run});
    CHECK(this->sent().upstream != first);
    this->step(send_rejected{id, this->sent().send, rejection::not_run});
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().retry_after);
}

// An idempotent request is interrupted at one upstream, which may have run it,
// and rejected by the next. It must not end as "not run".
TEST_CASE_FIXTURE(scheduler_fixture,
                  "rejected_request_after_interruption_may_have_run")
{
    this->upstreams(3, 5);
    const auto id = this->arrive(facts_of(idempotent, 2));
    this->step(answer_interrupted{id, this->sent().send});
    this->step(send_rejected{id, this->sent().send, rejection::not_run});
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

// A quarter of the upstreams lost power. A failed connect has sent nothing, so
// a request of any kind is retried, and the dead upstreams get only probes.
TEST_CASE_FIXTURE(scheduler_fixture, "failed_connects_not_counted_as_attempts")
{
    this->upstreams(3, 5);
    const auto id = this->arrive(facts_of(at_most_once, 1));
    const auto first = this->sent().upstream;
    this->step(connect_failed{id, this->sent().send});
    CHECK(this->sent().upstream != first);
    this->answer(id, this->sent().send);
    CHECK(this->last_action<deliver_answer>() != nullptr);
    for (int count = 0; count < 8; ++count) {
        this->arrive(stream_facts());
        CHECK(this->sent().upstream != first);
    }
}

// Guards against an entry without a free descriptor that takes all upstreams
// for dead.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "connect_failed_by_own_shortage_upstream_not_suspected")
{
    this->upstreams(1, 5);
    for (int count = 0; count < 20; ++count) {
        const auto id = this->arrive(facts_of(at_most_once, 2));
        this->step(connect_failed{id, this->sent().send, true});
        CHECK(this->verdict().run == base::run_state::not_run);
        CHECK(this->verdict().why == base::reason::overloaded);
        CHECK(this->last_action<suspicion_changed>() == nullptr);
    }
    this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() != nullptr);
}

TEST_CASE_FIXTURE(scheduler_fixture, "dead_upstream_probed_and_recovered")
{
    this->upstreams(1, 5);
    const auto lost = this->arrive(stream_facts());
    this->step(connect_failed{lost, this->sent().send});
    CHECK(this->last_action<send_request>() == nullptr);
    this->advance(260ms);
    // The first request tried this upstream; another one is the probe.
    const auto probe = this->arrive(stream_facts());
    const auto send = this->sent();
    CHECK(send.request == probe);
    this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() == nullptr);
    this->answer(probe, send.send);
    CHECK(this->last_action<suspicion_changed>()->suspected == false);
    CHECK(this->last_action<send_request>() != nullptr);
}

// A network partition cuts off a data centre, and a stream arrives at its
// entry. The entry still lists nine upstreams of other data centres, whose
// connects are refused in milliseconds. The stream must reach an upstream of
// its own data centre instead of ending after five failed connects.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "stream_in_a_partition_sent_in_own_data_centre")
{
    for (int number = 0; number < 12; ++number) {
        auto entry = upstream_named("i-" + std::to_string(number), 5);
        entry.data_centre =
            number < 3 ? "hall" : "away-" + std::to_string(number % 3);
        this->tested.upstream_joined(entry, this->now);
    }
    // The upstreams of the own data centre are busy, so that the first choices
    // are elsewhere.
    const std::vector<upstream_load> busy = {
        {base::upstream_id("i-0"), 4, 3000},
        {base::upstream_id("i-1"), 4, 3000},
        {base::upstream_id("i-2"), 4, 3000}};
    this->tested.on_peer_report(base::slot_id("peer"), busy, {}, this->now);
    const auto id = this->arrive(facts_of(resumable, 2));
    int failed = 0;
    while (this->last_action<send_request>() != nullptr) {
        const auto send = this->sent();
        const bool own = send.upstream == base::upstream_id("i-0") ||
                         send.upstream == base::upstream_id("i-1") ||
                         send.upstream == base::upstream_id("i-2");
        if (own)
            break;
        failed += 1;
        this->step(connect_failed{id, send.send});
    }
    REQUIRE(this->last_action<send_request>() != nullptr);
    CHECK(failed <= 6);
}

// A network partition makes eleven of twelve upstreams unreachable. Each is due
// for a probe every second. Sent one after another, the probes would delay
// every request.
TEST_CASE_FIXTURE(scheduler_fixture, "many_dead_upstreams_probes_limited")
{
    this->upstreams(12, 5);
    int failed = 0;
    for (int count = 0; count < 100; ++count) {
        this->advance(50ms);
        const auto id = this->arrive(stream_facts());
        while (this->last_action<send_request>() != nullptr) {
            const auto send = this->sent();
            if (send.upstream == base::upstream_id("i-3")) {
                this->answer(id, send.send);
                break;
            }
            failed += 1;
            this->step(connect_failed{id, send.send});
        }
    }
    // One send to each at first, then four a second for five seconds.
    CHECK(failed <= 11 + 20);
    CHECK(this->tested.counters().delivered > 90);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "idempotent_request_failed_retried_elsewhere")
{
    this->upstreams(2, 5);
    const auto id = this->arrive(facts_of(idempotent, 2));
    const auto first = this->sent();
    this->answer(id, first.send, false);
    CHECK(this->sent().upstream != first.upstream);
    this->answer(id, this->sent().send, false);
    CHECK(this->last_action<deliver_answer>() != nullptr);
}

TEST_CASE_FIXTURE(scheduler_fixture, "events_of_an_earlier_send_ignored")
{
    this->upstreams(2, 5);
    const auto id = this->arrive(facts_of(idempotent, 3));
    const auto first = this->sent().send;
    this->step(answer_interrupted{id, first});
    this->step(answer_interrupted{id, first});
    CHECK(this->last_actions.empty());
    CHECK(this->tested.in_flight() == 1);
}

// Retry storm: when every upstream fails, each request would be sent twice. The
// retry budget holds over all entries, of which this is one of ten.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "retries_of_one_entry_within_its_budget_share")
{
    this->upstreams(4, 50);
    this->tested.set_entry_count(10);
    for (int count = 0; count < 100; ++count) {
        const auto id = this->arrive(facts_of(idempotent, 2));
        this->answer(id, this->sent().send, false);
        if (this->last_action<send_request>() != nullptr)
            this->answer(id, this->sent().send);
        this->advance(50ms);
    }
    const auto retries = this->tested.counters().retried;
    CHECK(retries >= 8);
    CHECK(retries <= 25); // 0.2 of 100 requests, and a tenth of 50
}

// An engine processes a prompt of 40,000 tokens for one caller while it runs
// streams of others. The missing first event was taken for a dead upstream: the
// request lost its slot, and its caller left without an answer.
TEST_CASE_FIXTURE(scheduler_fixture, "upstream_serving_others_not_silent")
{
    this->upstreams(1, 5);
    const auto waiting = this->arrive(facts_of(resumable, 2));
    const auto other = this->arrive(facts_of(resumable, 2));
    const auto send = this->sent().send;
    for (std::uint32_t events = 1; events < 30; ++events) {
        this->step(events_received{other, send, events});
        this->advance(100ms);
        REQUIRE(this->last_action<cancel_send>() == nullptr);
    }
    CHECK(this->tested.in_flight() == 2);
    static_cast<void>(waiting);
}

// An open connection stops delivering. A resumable stream continues elsewhere
// well before its caller gives up.
TEST_CASE_FIXTURE(scheduler_fixture, "stream_silent_resumed_elsewhere")
{
    this->upstreams(2, 5);
    const auto id = this->arrive(facts_of(resumable, 2));
    const auto first = this->sent();
    this->step(events_received{id, first.send, 3});
    base::duration passed{0};
    while (this->last_action<cancel_send>() == nullptr && passed < 2s) {
        this->advance(20ms);
        passed += 20ms;
    }
    CHECK(passed < 1s);
    CHECK(this->sent().upstream != first.upstream);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "at_most_once_request_silent_waits_until_deadline")
{
    this->upstreams(2, 5);
    const auto id = this->arrive(facts_of(at_most_once, 2));
    for (int step = 0; step < 590; ++step) {
        this->advance(20ms);
        REQUIRE(this->last_action<cancel_send>() == nullptr);
        REQUIRE(this->last_action<end_request>() == nullptr);
    }
    this->advance(250ms);
    CHECK(this->last_action<cancel_send>()->request == id);
    CHECK(this->verdict().why == base::reason::deadline);
    CHECK(this->verdict().run == base::run_state::may_have_run);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "service_without_upstreams_refused_at_once")
{
    this->arrive(stream_facts());
    CHECK(this->verdict().run == base::run_state::not_run);
    CHECK(this->verdict().why == base::reason::no_upstream);
}

TEST_CASE_FIXTURE(scheduler_fixture, "caller_left_slot_freed")
{
    this->upstreams(1, 1);
    const auto first = this->arrive(stream_facts());
    const auto second = this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() == nullptr);
    this->step(caller_left{first});
    CHECK(this->sent().request == second);
}

// The process was frozen and resumes with a stale cluster state, by which
// nothing may be sent.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "scheduler_paused_sends_nothing_until_resumed")
{
    this->upstreams(1, 5);
    this->tested.set_paused(true);
    const auto id = this->arrive(stream_facts());
    CHECK(this->last_actions.empty());
    this->tested.set_paused(false);
    this->advance(1ms);
    CHECK(this->sent().request == id);
}

} // namespace greengagedrum::traffic
