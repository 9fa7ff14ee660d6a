// Quarantine of parts of prompts that crash upstreams.
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace greengagedrum::quarantine
{

namespace
{

using namespace std::chrono_literals;

base::request_digest part(const std::string& id)
{
    return base::digest_of_prompt_part(base::upstream_class_id("engines"), id);
}

struct part_fixture {
    base::instant now{1h};
    suspect_table table{1};
    suspect_table peer{2};
    base::workspace_id shop{"shop"};
    base::request_digest first = part("first");
    base::request_digest own = part("own");
    base::request_digest poison = part("poison");
    base::request_digest companion = part("companion");
    int crashes = 0;

    void crash(const std::vector<base::request_digest>& parts)
    {
        const base::upstream_id upstream("i-" +
                                         std::to_string(++this->crashes));
        this->table.on_crash(parts, this->shop, upstream, this->now);
        this->table.on_upstream_gone(upstream, this->now);
        this->now += 1s;
    }

    // Both came with a sound part, one of them as a trial of that part.
    void crash_with_two_poison_parts()
    {
        this->crash({this->first, this->poison});
        this->crash({this->first, this->poison});
        this->now += 1s;
        const std::vector<base::request_digest> trial{this->first,
                                                      this->companion};
        REQUIRE(this->state(trial) == quarantine_state::trial_due);
        this->table.on_sent(request_features{{}, trial}, this->now);
        this->crash(trial);
    }

    void answer(const std::vector<base::request_digest>& parts)
    {
        this->table.on_answer_begun(parts, this->now, this->now);
        this->now += 10ms;
    }

    quarantine_state state(const std::vector<base::request_digest>& parts) const
    {
        return this->table.state_of(request_features{{}, parts}, this->now);
    }

    void exchange_reports()
    {
        this->peer.merge(this->table.collect_reports(this->now, true),
                         this->now);
        this->table.merge(this->peer.collect_reports(this->now, true),
                          this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(part_fixture, "part_in_two_crashes_quarantined")
{
    this->crash({this->poison});
    CHECK(this->state({this->poison}) == quarantine_state::suspected);
    this->crash({this->poison});
    CHECK(this->state({this->poison}) == quarantine_state::quarantined);
    CHECK(this->state({this->first, this->poison}) ==
          quarantine_state::quarantined);
}

// Sound requests that share the first part of the poison ones would be refused.
TEST_CASE_FIXTURE(part_fixture, "part_answered_after_each_crash_clear")
{
    for (int time = 0; time < 5; ++time) {
        this->crash({this->first, this->poison});
        this->answer({this->first});
    }
    CHECK(this->state({this->first}) == quarantine_state::clear);
    CHECK(this->state({this->poison}) == quarantine_state::quarantined);
}

// Peers' answers arrive up to this much later than the crash is known.
TEST_CASE_FIXTURE(part_fixture, "part_just_blamed_held_not_refused")
{
    this->crash({this->poison});
    this->crash({this->poison});
    this->now -= 800ms;
    CHECK(this->state({this->poison}) == quarantine_state::confirming);
    this->answer({this->poison});
    CHECK(this->state({this->poison}) == quarantine_state::clear);
}

// A part that was sound before would be ruled out by its earlier answers.
TEST_CASE_FIXTURE(part_fixture,
                  "part_that_became_poison_quarantined_despite_answers")
{
    this->answer({this->poison});
    this->crash({this->poison});
    this->crash({this->poison});
    CHECK(this->state({this->poison}) == quarantine_state::clear);
    this->crash({this->poison});
    CHECK(this->state({this->poison}) == quarantine_state::quarantined);
}

// A sound request was sent again to an upstream that crashed as well.
TEST_CASE_FIXTURE(part_fixture, "part_unlucky_twice_cleared_by_the_next_crash")
{
    this->crash({this->poison, this->own});
    this->crash({this->poison, this->own});
    CHECK(this->state({this->own}) == quarantine_state::quarantined);
    this->crash({this->poison});
    CHECK(this->state({this->own}) == quarantine_state::clear);
    CHECK(this->state({this->poison}) == quarantine_state::quarantined);
}

// Two parts that always came together can only be told apart by a request that
// has one of them.
TEST_CASE_FIXTURE(part_fixture, "parts_always_together_tried_apart")
{
    for (int time = 0; time < 2; ++time)
        this->crash({this->poison, this->companion});
    for (int time = 0; time < 3; ++time)
        this->crash({this->poison, this->companion});
    this->now += 2s;
    const std::vector<base::request_digest> both{this->poison, this->companion};
    CHECK(this->state(both) == quarantine_state::quarantined);
    const std::vector<base::request_digest> alone{this->companion};
    REQUIRE(this->state(alone) == quarantine_state::trial_due);
    this->table.on_sent(request_features{{}, alone}, this->now);
    CHECK(this->state(alone) == quarantine_state::quarantined);
    this->answer(alone);
    CHECK(this->state(alone) == quarantine_state::clear);
    CHECK(this->state(both) == quarantine_state::quarantined);
}

// A sound part that came with two poison parts would be refused for minutes
// after a trial by a request with the second of them.
TEST_CASE_FIXTURE(part_fixture, "part_of_two_poison_parts_tried_again_soon")
{
    this->crash_with_two_poison_parts();
    this->now += 4s;
    const std::vector<base::request_digest> sound{this->first, this->own};
    REQUIRE(this->state(sound) == quarantine_state::trial_due);
    this->answer(sound);
    CHECK(this->state(sound) == quarantine_state::clear);
    CHECK(this->state({this->first, this->poison}) ==
          quarantine_state::confirming);
}

// A request with a poison part would fail the trial of a sound part.
TEST_CASE_FIXTURE(part_fixture,
                  "request_with_another_suspect_of_the_crashes_no_trial")
{
    this->crash_with_two_poison_parts();
    this->now += 30min;
    REQUIRE(this->state({this->first}) == quarantine_state::trial_due);
    const std::vector<base::request_digest> both{this->first, this->poison};
    CHECK(this->state(both) == quarantine_state::quarantined);
    CHECK(this->table.time_until_trial(request_features{{}, both}, this->now) >=
          1s);
}

// A poison part would crash an upstream every few seconds if a sound part that
// came with it twice made its evidence weak for good.
TEST_CASE_FIXTURE(part_fixture, "part_with_crashes_of_its_own_tried_rarely")
{
    this->crash_with_two_poison_parts();
    CHECK(this->table.time_until_trial(this->first, this->now) <= 4s);
    this->crash({this->first, this->own});
    CHECK(this->table.time_until_trial(this->first, this->now) >= 10min);
}

// Peers that still know of the trial would bring it back.
TEST_CASE_FIXTURE(part_fixture, "trial_that_did_not_run_due_again")
{
    this->crash({this->poison});
    this->crash({this->poison});
    this->now += 4s;
    const std::vector<base::request_digest> parts{this->poison};
    const request_features trial{{}, parts};
    REQUIRE(this->state(parts) == quarantine_state::trial_due);
    const base::instant sent_at = this->now;
    this->table.on_sent(trial, sent_at);
    this->exchange_reports();
    CHECK(this->state(parts) == quarantine_state::quarantined);
    this->now += 100ms;
    this->table.on_not_run(trial, sent_at);
    this->exchange_reports();
    CHECK(this->state(parts) == quarantine_state::trial_due);
    this->table.on_sent(trial, this->now);
    this->exchange_reports();
    CHECK(this->state(parts) == quarantine_state::quarantined);
}

TEST_CASE_FIXTURE(part_fixture, "part_trials_rarer_with_each_crash")
{
    this->crash({this->poison});
    this->crash({this->poison});
    CHECK(this->table.time_until_trial(this->poison, this->now) <= 4s);
    this->crash({this->poison});
    const base::duration third =
        this->table.time_until_trial(this->poison, this->now);
    CHECK(third >= 10min - 1s);
    this->crash({this->poison});
    CHECK(this->table.time_until_trial(this->poison, this->now) > 9 * third);
}

// An upstream that is alive after all has not crashed.
TEST_CASE_FIXTURE(part_fixture, "part_after_reset_connections_clear")
{
    for (int number = 1; number <= 3; ++number) {
        const base::upstream_id upstream("i-" + std::to_string(number));
        this->table.on_crash(
            std::array{this->own}, this->shop, upstream, this->now);
        this->table.on_upstream_reachable(upstream, this->now + 20ms);
    }
    CHECK(this->state({this->own}) == quarantine_state::clear);
}

TEST_CASE_FIXTURE(part_fixture, "part_quarantined_here_quarantined_at_a_peer")
{
    this->crash({this->poison});
    this->crash({this->poison});
    this->exchange_reports();
    this->now += 1s;
    CHECK(this->peer.state_of(this->poison, this->now) ==
          quarantine_state::quarantined);
    REQUIRE(this->peer.list_quarantined(this->now).size() == 1);
    CHECK(this->peer.list_quarantined(this->now).front().kind ==
          suspect_kind::prompt_part);
}

// A peer's answer shortly after a crash counts, though an earlier one is known.
TEST_CASE_FIXTURE(part_fixture, "part_answered_at_a_peer_after_the_crash_clear")
{
    this->answer({this->first});
    for (int time = 0; time < 3; ++time) {
        this->crash({this->first});
        this->now -= 900ms;
        this->peer.on_answer_begun(
            std::array{this->first}, this->now, this->now);
        this->exchange_reports();
    }
    this->now += 1s;
    CHECK(this->state({this->first}) == quarantine_state::clear);
    CHECK(this->table.list_quarantined(this->now).empty());
}

// The records of parts that were merely there would crowd out the cause.
TEST_CASE_FIXTURE(part_fixture, "part_with_most_crashes_reported_first")
{
    for (int time = 0; time < 3; ++time) {
        std::vector<base::request_digest> parts{this->poison};
        for (int number = 0; number < 40; ++number)
            parts.push_back(part(std::to_string(time * 100 + number)));
        this->crash(parts);
        this->now -= 990ms;
    }
    const auto reports = this->table.collect_reports(this->now, false);
    REQUIRE_FALSE(reports.empty());
    CHECK(reports.front().request == this->poison);
}

} // namespace greengagedrum::quarantine
