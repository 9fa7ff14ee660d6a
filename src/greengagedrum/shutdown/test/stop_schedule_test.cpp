#include <greengagedrum/shutdown/stop_schedule.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::shutdown
{

namespace
{

using namespace std::chrono_literals;

struct stop_schedule_fixture {
    base::instant begun{1h};
    stop_schedule tested{{this->begun, this->begun}, 8s};
};

} // namespace

TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_eight_seconds_end_before_the_kill")
{
    CHECK(this->tested.at(this->begun) == stop_phase::accepting);
    CHECK(this->tested.at(this->begun + 2499ms) == stop_phase::accepting);
    CHECK(this->tested.at(this->begun + 2500ms) == stop_phase::finishing);
    CHECK(this->tested.at(this->tested.end()) == stop_phase::ending);
    CHECK(this->tested.at(this->begun + 7900ms) == stop_phase::over);
}

// A signal that is noticed late moves the bound past what its sender counts on.
TEST_CASE_FIXTURE(
    stop_schedule_fixture,
    "stop_phases_signal_noticed_late_count_from_its_earliest_time")
{
    const stop_schedule late({this->begun, this->begun + 400ms}, 8s);
    CHECK(late.begun() == this->begun);
    CHECK(late.at(this->begun + 2499ms) == stop_phase::accepting);
    CHECK(late.at(this->begun + 2500ms) == stop_phase::finishing);
    CHECK(late.end() == this->tested.end());
}

// A request is taken after a freeze in which the signal was sent seconds ago.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_signal_noticed_after_a_freeze_take_nothing")
{
    const base::instant noticed = this->begun + 4s;
    const stop_schedule frozen({this->begun, noticed}, 8s);
    CHECK(frozen.at(noticed) == stop_phase::finishing);
    CHECK(frozen.end() >= noticed + 7s);
    CHECK(frozen.end() < noticed + 7600ms);
}

// The share of a short timeout is as long as that of a usual one.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_shorter_timeout_accept_in_proportion")
{
    const stop_schedule brief({this->begun, this->begun}, 4s);
    const stop_schedule lasting({this->begun, this->begun}, 30s);
    CHECK(brief.accept_end() == this->begun + 1250ms);
    CHECK(lasting.accept_end() == this->begun + 2500ms);
}

// Requests are taken for a second although no balancer sends any.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_two_negative_probes_end_accepting")
{
    this->tested.on_negative_probe(this->begun + 300ms);
    this->tested.on_negative_probe(this->begun + 1300ms);
    CHECK(this->tested.at(this->begun + 1799ms) == stop_phase::accepting);
    CHECK(this->tested.at(this->begun + 1800ms) == stop_phase::finishing);
    CHECK(this->tested.accept_ends_by_probes());
    CHECK(this->tested.listens(this->begun + 2999ms));
    CHECK_FALSE(this->tested.listens(this->begun + 3s));
}

// Two probers that ask once each are taken for one that asks twice.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_probes_close_together_count_as_one")
{
    this->tested.on_negative_probe(this->begun + 300ms);
    this->tested.on_negative_probe(this->begun + 400ms);
    CHECK(this->tested.at(this->begun + 2499ms) == stop_phase::accepting);
    CHECK_FALSE(this->tested.accept_ends_by_probes());
}

// Late or further probes move the end of accepting back.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_late_probes_do_not_prolong_accepting")
{
    this->tested.on_negative_probe(this->begun + 300ms);
    this->tested.on_negative_probe(this->begun + 1300ms);
    this->tested.on_negative_probe(this->begun + 1700ms);
    CHECK(this->tested.accept_end() == this->begun + 1800ms);
    stop_schedule late({this->begun, this->begun}, 8s);
    late.on_negative_probe(this->begun + 1200ms);
    late.on_negative_probe(this->begun + 2200ms);
    CHECK(late.accept_end() == this->begun + 2500ms);
    CHECK_FALSE(late.accept_ends_by_probes());
}

// The process is killed by a shorter timeout with requests under way.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_shorter_timeout_later_shortens_those_ahead")
{
    const stop_schedule brief({this->begun, this->begun}, 4s);
    this->tested.on_timeout_changed(4s);
    CHECK(this->tested.begun() == this->begun);
    CHECK(this->tested.accept_end() == brief.accept_end());
    CHECK(this->tested.end() == brief.end());
    CHECK(this->tested.at(this->begun + 3899ms) == stop_phase::ending);
    CHECK(this->tested.at(this->begun + 3900ms) == stop_phase::over);
}

// The process is killed by the timeout of the signal, which it forgot.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_longer_timeout_later_changes_nothing")
{
    const stop_schedule before = this->tested;
    this->tested.on_timeout_changed(30s);
    CHECK(this->tested.accept_end() == before.accept_end());
    CHECK(this->tested.end() == before.end());
    CHECK(this->tested.at(this->begun + 7900ms) == stop_phase::over);
}

// Requests are taken again after they were refused.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_timeout_back_to_the_first_opens_no_past_phase")
{
    this->tested.on_timeout_changed(4s);
    CHECK(this->tested.at(this->begun + 1250ms) == stop_phase::finishing);
    this->tested.on_timeout_changed(8s);
    CHECK(this->tested.at(this->begun + 1250ms) == stop_phase::finishing);
    CHECK(this->tested.at(this->begun + 3900ms) == stop_phase::over);
}

// A short timeout is spent on taking requests that can't end.
TEST_CASE_FIXTURE(stop_schedule_fixture,
                  "stop_phases_short_timeout_keep_their_order")
{
    for (const base::duration timeout : {0ms, 100ms, 500ms, 1000ms}) {
        const stop_schedule brief({this->begun, this->begun}, timeout);
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
