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

// A stream that may be resumed elsewhere is refused, though cutting it at its
// end would lose nothing.
TEST_CASE_FIXTURE(stopping_fixture,
                  "resumable_stream_that_outlasts_the_stop_is_sent")
{
    this->serve(2s);
    this->tested.set_stop_time(this->now + 3s);
    request_facts resumable = stream_facts();
    resumable.retry = routing::retry_policy::resumable;
    this->arrive(resumable);
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
