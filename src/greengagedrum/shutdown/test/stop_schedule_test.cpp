#include <greengagedrum/shutdown/stop_schedule.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::shutdown
{

namespace
{

using namespace std::chrono_literals;

struct stop_schedule_fixture {
    base::instant begun{1h};
    stop_schedule tested{this->begun, 8s};
};

} // namespace

TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_eight_seconds_end_before_the_kill")
{
    CHECK(this->tested.at(this->begun) == stop_phase::accepting);
    CHECK(this->tested.at(this->begun + 2999ms) == stop_phase::accepting);
    CHECK(this->tested.at(this->begun + 3s) == stop_phase::finishing);
    CHECK(this->tested.at(this->tested.end()) == stop_phase::ending);
    CHECK(this->tested.at(this->begun + 7900ms) == stop_phase::over);
}

// A short timeout is spent on taking requests that can't end.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_short_timeout_keep_their_order")
{
    for (const base::duration timeout : {0ms, 100ms, 500ms, 1000ms}) {
        const stop_schedule brief(this->begun, timeout);
        stop_phase last = stop_phase::accepting;
        for (base::duration after{0}; after <= timeout; after += 1ms) {
            const stop_phase phase = brief.at(this->begun + after);
            CHECK(phase >= last);
            last = phase;
        }
        CHECK(last == stop_phase::over);
    }
}

} // namespace greengagedrum::shutdown
