#include <greengagedrum/traffic/hold_time_distribution.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

struct hold_time_fixture {
    hold_time_distribution tested;

    void ended(int count, base::duration time)
    {
        for (int done = 0; done < count; ++done)
            this->tested.record_ended(time);
    }

    void cut(int count, base::duration time)
    {
        for (int done = 0; done < count; ++done)
            this->tested.record_cut(time);
    }

    // True when that share ends within `time`, with the error of a bucket.
    bool is_about(double share, base::duration time) const
    {
        const auto found = this->tested.quantile(share);
        return found && *found >= time && *found <= time * 5 / 4;
    }
};

} // namespace

// A single slow request decides for a kind of which nothing else is known.
TEST_CASE_FIXTURE(hold_time_fixture, "quantile_of_few_samples_is_unknown")
{
    CHECK_FALSE(this->tested.quantile(0.99));
    this->ended(19, 3s);
    CHECK_FALSE(this->tested.quantile(0.99));
    this->ended(1, 3s);
    CHECK(this->is_about(0.99, 3s));
}

// A tail of one in twenty is lost in the decay or in the buckets.
TEST_CASE_FIXTURE(hold_time_fixture, "quantile_of_a_long_tail_is_in_the_tail")
{
    for (int count = 0; count < 50; ++count) {
        this->ended(1, 3s);
        this->ended(19, 400ms);
    }
    CHECK(this->is_about(0.5, 400ms));
    CHECK(this->is_about(0.9, 400ms));
    CHECK(this->is_about(0.99, 3s));
}

// Requests of the far past decide though the kind has become fast.
TEST_CASE_FIXTURE(hold_time_fixture, "quantile_of_a_kind_that_became_fast")
{
    this->ended(500, 3s);
    this->ended(5000, 400ms);
    CHECK(this->is_about(0.99, 400ms));
}

// Callers leave while the answers that would take longest run. Only the answers
// that are left count, and the tail disappears.
TEST_CASE_FIXTURE(hold_time_fixture, "quantile_of_cut_requests_is_not_shorter")
{
    this->ended(90, 400ms);
    this->cut(10, 2s);
    CHECK(this->is_about(0.99, 2s));
    CHECK(this->is_about(0.5, 400ms));
}

// Callers that leave at once are taken for answers that end at once.
TEST_CASE_FIXTURE(hold_time_fixture, "requests_cut_early_do_not_hide_the_tail")
{
    for (int count = 0; count < 20; ++count) {
        this->cut(10, 10ms);
        this->ended(9, 400ms);
        this->ended(1, 3s);
    }
    CHECK(this->is_about(0.8, 400ms));
    CHECK(this->is_about(0.99, 3s));
}

// A time outside all buckets ends the process.
TEST_CASE_FIXTURE(hold_time_fixture, "times_outside_the_range_are_counted")
{
    this->ended(50, 0s);
    CHECK(this->tested.quantile(0.99) == 1ms);
    this->ended(50, 24h);
    CHECK(this->tested.quantile(0.99) > 10min);
}

} // namespace greengagedrum::traffic
