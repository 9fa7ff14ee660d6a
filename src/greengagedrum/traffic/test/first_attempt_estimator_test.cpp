// First attempts are told apart from retries and go first.
#include <greengagedrum/traffic/first_attempt_estimator.hpp>
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

#include <random>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

const base::kind_id quote("quote");

struct estimator_fixture {
    base::instant now{1h};
    first_attempt_estimator tested;
    std::mt19937_64 random{7};

    // Records first attempts with times left from `low` to `high`. No caller is
    // refused meanwhile.
    void record_first_attempts(base::duration low, base::duration high)
    {
        std::uniform_int_distribution<std::int64_t> left(low.count(),
                                                         high.count());
        for (int count = 0; count < 400; ++count) {
            this->now += 50ms;
            this->tested.record(
                quote, base::duration(left(this->random)), this->now);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(estimator_fixture, "caller_with_less_time_left_is_retry")
{
    this->record_first_attempts(12'500ms, 15s);
    CHECK_FALSE(this->tested.is_retry(quote, 13s));
    CHECK(this->tested.is_retry(quote, 10s));
    CHECK_FALSE(this->tested.is_retry(base::kind_id("other"), 10s));
}

// Callers of this kind have deadlines of all lengths, so a short one does not
// indicate a retry.
TEST_CASE_FIXTURE(estimator_fixture,
                  "callers_of_all_deadlines_are_first_attempts")
{
    this->record_first_attempts(1s, 15s);
    CHECK_FALSE(this->tested.is_retry(quote, 4s));
}

// Callers are refused for 50 s and all requests are retries. They must not
// change the learned times.
TEST_CASE_FIXTURE(estimator_fixture, "retries_in_a_burst_not_learned")
{
    this->record_first_attempts(12'500ms, 15s);
    for (int count = 0; count < 1'000; ++count) {
        this->now += 50ms;
        this->tested.note_refusals(this->now);
        this->tested.record(quote, 8s, this->now);
    }
    CHECK(this->tested.is_retry(quote, 8s));
}

// A refused request is retried while the engine is full. It has missed its
// objective in any case, while a first attempt that arrives later can still
// meet its own.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "first_attempt_and_retry_first_attempt_goes_first")
{
    this->upstreams(1, 1);
    request_facts first_attempt = stream_facts();
    first_attempt.time_left = 15s;
    request_facts retry = first_attempt;
    retry.time_left = 9s;
    const auto running = this->arrive(first_attempt);
    const auto send = this->sent().send;
    this->arrive(retry);
    this->advance(20ms);
    const auto second = this->arrive(first_attempt);
    this->answer(running, send);
    REQUIRE(this->last_action<send_request>() != nullptr);
    CHECK(this->last_action<send_request>()->request == second);
}

} // namespace greengagedrum::traffic
