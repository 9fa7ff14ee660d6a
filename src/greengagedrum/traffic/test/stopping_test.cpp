#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct stopping_fixture : scheduler_fixture {
    stopping_fixture() { this->upstreams(1, 1); }

    // Serves a request that holds its slot for that long.
    void serve(base::duration hold)
    {
        const base::request_id id = this->arrive(stream_facts());
        this->now += hold;
        this->step(answer_received{id, 1, true});
    }

    bool refused_as_stopping() const
    {
        const auto* end = this->last_action<end_request>();
        return end != nullptr && end->verdict.why == base::reason::stopping &&
               end->verdict.run == base::run_state::not_run &&
               end->verdict.retry_after.has_value();
    }
};

} // namespace

// A request whose connect fails is sent again though it can't end any more.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_not_sent_near_the_stop_is_refused_not_sent_again")
{
    this->upstreams(2, 1);
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    const base::request_id id = this->arrive(stream_facts());
    this->now += 2500ms;
    this->step(connect_failed{id, 1});
    CHECK(this->refused_as_stopping());
    CHECK(this->last_action<send_request>() == nullptr);
}

// A stream that may be resumed is taken and cut: its caller gets a broken
// stream after seconds and needs its retry, while another entry is a round trip
// away.
TEST_CASE_FIXTURE(
    stopping_fixture,
    "resumable_stream_that_outlasts_the_stop_is_refused_on_arrival")
{
    this->serve(2s);
    this->tested.set_stop_time(this->now + 3s);
    this->arrive(resumable_facts());
    CHECK(this->refused_as_stopping());
    CHECK(this->last_action<send_request>() == nullptr);
}

// As above for a stream of which the caller has a part already.
TEST_CASE_FIXTURE(stopping_fixture,
                  "resumed_stream_that_outlasts_the_stop_is_refused_on_arrival")
{
    this->serve(2s);
    this->tested.set_stop_time(this->now + 3s);
    request_facts resumed = resumable_facts();
    resumed.caller_resumes = true;
    this->arrive(resumed);
    CHECK(this->refused_as_stopping());
}

TEST_CASE_FIXTURE(stopping_fixture,
                  "resumable_stream_that_ends_before_the_stop_is_sent")
{
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    this->arrive(resumable_facts());
    CHECK(this->last_action<send_request>() != nullptr);
}

// Nineteen of twenty requests of a kind take 0.4 s, one takes 3 s. Twice the
// mean is no bound of that, so one of twenty is taken and cut.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_of_a_kind_with_a_long_tail_is_refused_on_arrival")
{
    for (int count = 0; count < 100; ++count)
        this->serve(count % 20 == 3 ? 3s : 400ms);
    this->tested.set_stop_time(this->now + 2s);
    this->arrive(stream_facts());
    CHECK(this->refused_as_stopping());
    this->tested.set_stop_time(this->now + 5s);
    this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() != nullptr);
}

// A request is refused though its caller stops waiting before the stop ends.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_whose_caller_leaves_before_the_stop_is_sent")
{
    this->serve(2s);
    this->tested.set_stop_time(this->now + 3s);
    request_facts facts = stream_facts();
    facts.time_left = 2500ms;
    this->arrive(facts);
    CHECK(this->last_action<send_request>() != nullptr);
}

// Few samples are taken for the distribution of a kind, and its requests are
// refused by a single slow one.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_of_a_kind_with_few_samples_goes_by_the_mean")
{
    for (int count = 0; count < 5; ++count)
        this->serve(count == 1 ? 3s : 400ms);
    this->tested.set_stop_time(this->now + 2s);
    this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() != nullptr);
}

// A request of a kind that takes longer than the time left is taken and cut.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_that_outlasts_the_stop_is_refused_on_arrival")
{
    this->serve(2s);
    this->tested.set_stop_time(this->now + 3s);
    this->arrive(stream_facts());
    CHECK(this->refused_as_stopping());
}

TEST_CASE_FIXTURE(stopping_fixture, "request_that_ends_before_the_stop_is_sent")
{
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    this->arrive(stream_facts());
    CHECK(this->last_action<send_request>() != nullptr);
}

// A request waits for a slot until the time left no longer suffices for it.
TEST_CASE_FIXTURE(stopping_fixture,
                  "request_waiting_until_the_stop_is_near_is_refused")
{
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    this->arrive(stream_facts());
    this->arrive(stream_facts());
    this->advance(900ms);
    CHECK_FALSE(this->refused_as_stopping());
    this->advance(200ms);
    CHECK(this->refused_as_stopping());
}

// A slot is granted between two ticks, when the time left no longer suffices.
// The request is sent and cut.
TEST_CASE_FIXTURE(stopping_fixture,
                  "slot_granted_near_the_stop_is_refused_not_used")
{
    this->serve(1s);
    this->tested.set_delegating(true);
    this->tested.set_stop_time(this->now + 3s);
    const base::request_id id = this->arrive(stream_facts());
    this->now += 2500ms;
    slot_granted grant;
    grant.request = id;
    grant.send = 1;
    grant.upstream = base::upstream_id("i-0");
    this->step(grant);
    CHECK(this->refused_as_stopping());
    CHECK(this->last_action<send_request>() == nullptr);
}

// An answer in hand is dropped for a retry that the end of the stop cuts.
TEST_CASE_FIXTURE(stopping_fixture,
                  "failed_answer_near_the_stop_is_delivered_not_retried")
{
    this->upstreams(2, 1);
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    const base::request_id id = this->arrive(resumable_facts());
    this->now += 2500ms;
    this->answer(id, 1, false);
    CHECK(this->last_action<deliver_answer>() != nullptr);
    CHECK(this->last_action<send_request>() == nullptr);
}

// The caller would wait until the end of the stop and then be told the same.
TEST_CASE_FIXTURE(stopping_fixture,
                  "answer_interrupted_near_the_stop_ends_at_once")
{
    this->upstreams(2, 1);
    this->serve(1s);
    this->tested.set_stop_time(this->now + 3s);
    const base::request_id id = this->arrive(resumable_facts());
    this->now += 2500ms;
    this->step(answer_interrupted{id, 1, interruption_cause::connection_lost});
    CHECK(this->verdict().run == base::run_state::may_have_run);
    CHECK(this->last_action<send_request>() == nullptr);
}

// A request that may have run is refused as not run.
TEST_CASE_FIXTURE(stopping_fixture, "end_of_all_running_request_may_have_run")
{
    const base::request_id running = this->arrive(stream_facts());
    this->arrive(stream_facts());
    this->last_actions.clear();
    this->tested.end_all(this->now, this->last_actions);
    std::size_t may_have_run = 0;
    std::size_t not_run = 0;
    for (const action& one : this->last_actions) {
        const auto* end = std::get_if<end_request>(&one);
        if (end == nullptr)
            continue;
        const bool ran = end->verdict.run == base::run_state::may_have_run;
        (ran ? may_have_run : not_run) += 1;
        CHECK(ran == (end->request == running));
    }
    CHECK(may_have_run == 1);
    CHECK(not_run == 1);
    CHECK(this->tested.in_flight() == 0);
}

} // namespace greengagedrum::traffic
