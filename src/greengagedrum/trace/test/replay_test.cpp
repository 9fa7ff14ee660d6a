// The traces of the repository hold, and the replayer finds what does not.
#include <greengagedrum/trace/replay.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace greengagedrum::trace
{

namespace
{

std::vector<std::string> lines_of(const std::filesystem::path& name)
{
    std::ifstream file(name, std::ios::binary);
    REQUIRE(file);
    return split_lines(std::string(std::istreambuf_iterator<char>(file), {}));
}

// One dossier, answered after 500 ms.
struct replay_fixture {
    std::vector<std::string> lines = {
        R"({"story": "One dossier is answered."})",
        R"({"trace": 1, "hand_written": true, "options": {"life": 7,
            "slot": "a", "data_centre": "z"}})",
        R"({"at_ms": 0, "event": "config_changed", "snapshot": {"fleet":
            {"upstreams": [{"name": "e", "data_centre": "z", "class": "c",
             "models": ["m"]}]}}})",
        R"({"at_ms": 0, "event": "instances_listed", "list": {"instances":
            [{"name": "e", "type": "upstream"}]}})",
        R"({"at_ms": 0, "react": {"to": "start_dispatch", "with":
            [{"event": "stream_finished", "after_ms": 500,
              "whole": {"length": 9}}]}})",
        R"({"at_ms": 1, "event": "request_arrived", "request": 1, "work":
            {"class": "c", "model": "m"}, "deadline_after_ms": 5000})"};

    replay_result with(const std::string& line) const
    {
        std::vector<std::string> all = this->lines;
        all.push_back(line);
        return replay(all);
    }
};

} // namespace

TEST_CASE("committed_traces_replayed_outcomes_hold")
{
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("traces")) {
        if (entry.path().extension() != ".jsonl")
            continue;
        CAPTURE(entry.path().string());
        const replay_result found = replay(lines_of(entry.path()));
        if (found.first)
            FAIL_CHECK(found.first->line << ": " << found.first->what);
        CHECK(found.expectations > 0);
        CHECK_FALSE(found.story.empty());
        count += 1;
    }
    CHECK(count >= 20);
}

TEST_CASE_FIXTURE(replay_fixture, "stated_outcome_true_holds")
{
    const auto found = this->with(
        R"({"at_ms": 900, "expect": {"request": 1, "ends": "answered",
            "dispatched_times": 1, "ended_by_ms": 501}})");
    CHECK(found.same());
    CHECK(found.expectations == 1);
}

TEST_CASE_FIXTURE(replay_fixture, "stated_outcome_wrong_reported")
{
    for (const char* wrong :
         {R"({"request": 1, "ends": "not_run"})",
          R"({"request": 1, "ends": "open"})",
          R"({"request": 1, "dispatched_times": 2})",
          R"({"request": 1, "dispatched_times_most": 0})",
          R"({"request": 1, "never_dispatched": true})",
          R"({"request": 1, "ended_by_ms": 500})",
          R"({"request": 1, "resumed_times_least": 1})",
          R"({"request": 1, "upstreams_least": 2})",
          R"({"request": 1, "cancelled": true})",
          R"({"request": 1, "answer_length": 8})",
          R"({"request": 1, "why": "deadline"})",
          R"({"request": 1, "dispatched_before": 1})",
          R"({"request": 1, "ended_before": 1})",
          R"({"request": 2, "ends": "open"})",
          R"({"upstream": "e", "no_dispatch_after_ms": 0})",
          R"({"upstream": "e", "dispatched_times": 0})",
          R"({"upstream": "e", "dispatched_times_least": 2})",
          R"({"all": true, "open": 1})",
          R"({"all": true, "dispatched_times_most": 0})",
          R"({"all": true, "ends": "not_run"})",
          R"({"request": 1, "misspelt": 1})",
          R"({"request": 1})"}) {
        CAPTURE(wrong);
        const auto found = this->with(R"({"at_ms": 900, "expect": )" +
                                      std::string(wrong) + "}");
        REQUIRE_FALSE(found.same());
        CHECK(found.first->line == this->lines.size() + 1);
    }
}

TEST_CASE_FIXTURE(replay_fixture, "line_unreadable_reported")
{
    for (const char* wrong : {"{",
                              "[]",
                              R"({"at_ms": 1})",
                              R"({"at_ms": 1, "event": "no_such"})",
                              R"({"at_ms": 1, "event": "tick", "misspelt": 1})",
                              R"({"at_ms": 0, "event": "tick"})",
                              R"({"event": "tick"})",
                              R"({"at_ms": 1, "event": "config_changed"})",
                              R"({"dropped": 3})",
                              R"({"trace": 1, "options": {}})"}) {
        CAPTURE(wrong);
        CHECK_FALSE(this->with(wrong).same());
    }
    CHECK_FALSE(replay({}).same());
}

// A trace whose own text speaks of a broken promise, and no core that broke
// one.
TEST_CASE_FIXTURE(replay_fixture, "broken_promise_named_by_the_trace_is_none")
{
    const auto found = this->with(R"({"at_ms": 2, "event": "promise broken"})");
    REQUIRE(found.first);
    CHECK(found.first->what.find("promise broken") != std::string::npos);
    CHECK_FALSE(found.first->promise_broken);
}

// A recorded dispatch that the core no longer makes (or one it makes anew)
// must not pass for the same run.
TEST_CASE_FIXTURE(replay_fixture, "recorded_action_other_reported")
{
    this->lines[1] = R"({"trace": 1, "options": {"life": 7, "slot": "a",
        "data_centre": "z"}})";
    this->lines.erase(this->lines.begin() + 4);
    this->lines.push_back(R"({"action": "assign_ticket", "request": 1,
        "ticket": {"data_centre": "z", "slot": "a", "life": 7,
        "sequence": 1}})");
    const std::string taken = R"({"action": "start_dispatch", "request": 1,
        "upstream": "e", "connection": 1, "dispatch": {"life": 7,
        "sequence": )";
    CHECK(this->with(taken + "1}}").same());
    CHECK_FALSE(this->with(taken + "2}}").same());
    CHECK_FALSE(this->with(R"({"at_us": 1000, "event": "tick"})").same());
    CHECK_FALSE(replay(this->lines).same());
}

// An index beyond the tables that the core keeps by tier.
TEST_CASE_FIXTURE(replay_fixture, "enumerator_given_as_a_number_refused")
{
    const auto found = this->with(
        R"({"at_ms": 2, "event": "request_arrived", "request": 2, "work":
            {"class": "c", "model": "m", "tier": 100},
            "deadline_after_ms": 5000})");
    REQUIRE(found.first);
    CHECK(found.first->what.find("unknown name: 100") != std::string::npos);
}

} // namespace greengagedrum::trace
