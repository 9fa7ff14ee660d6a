#include <greengagedrum/shutdown/loop_turns.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::shutdown
{

namespace
{

using namespace std::chrono_literals;

struct loop_turns_fixture {
    base::instant start{1h};
    loop_turns tested{this->start, 0s};
};

} // namespace

// The first turn after a freeze hides that the signal may be older.
TEST_CASE_FIXTURE(loop_turns_fixture,
                  "signal_noticed_after_a_late_turn_may_be_older_than_it")
{
    this->tested.on_turn(this->start + 50ms, 0s);
    this->tested.on_turn(this->start + 3s, 0s);
    const signal_window signal =
        this->tested.signal_noticed(this->start + 3001ms, 0s);
    CHECK(signal.earliest == this->start + 50ms);
    CHECK(signal.noticed == this->start + 3001ms);
}

// The loop's clock misses the time of a suspension.
TEST_CASE_FIXTURE(loop_turns_fixture,
                  "signal_noticed_after_a_suspension_may_be_as_old")
{
    this->tested.on_turn(this->start + 50ms, 0s);
    this->tested.on_turn(this->start + 100ms, 2s);
    CHECK(this->tested.signal_noticed(this->start + 101ms, 2s).earliest ==
          this->start + 50ms - 2s);
}

} // namespace greengagedrum::shutdown
