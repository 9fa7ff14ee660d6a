#include <greengagedrum/versions/lookup.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::versions
{

namespace
{

using namespace std::chrono_literals;

struct lookup_fixture {
    base::instant start{1h};
    base::version_id first{"1.0"};
    base::version_id second{"1.1"};

    lookup make(std::vector<entry_address> asked,
                std::optional<base::version_id> own_single = {}) const
    {
        const finding own = own_single ? finding(single_version{*own_single})
                                       : finding(unknown_version{});
        return {stream_id(7), std::move(asked), own, this->start};
    }

    finding found_at(const lookup& one, base::duration after) const
    {
        const auto result = one.result_at(this->start + after);
        REQUIRE(result.has_value());
        return result->found;
    }

    bool is_open(const lookup& one, base::duration after) const
    {
        return !one.result_at(this->start + after);
    }
};

} // namespace

TEST_CASE_FIXTURE(lookup_fixture, "known_answer_decides_at_once")
{
    lookup sought = this->make({1, 2, 3});
    sought.on_answer(1, unknown_version{}, this->start + 1ms);
    CHECK(this->is_open(sought, 1ms));
    sought.on_answer(2, known_version{this->first}, this->start + 2ms);
    const auto result = sought.result_at(this->start + 2ms);
    REQUIRE(result.has_value());
    CHECK(result->found == finding(known_version{this->first}));
    CHECK(result->by == 2);
    CHECK(result->took == 2ms);
    sought.on_answer(3, known_version{this->second}, this->start + 3ms);
    CHECK(this->found_at(sought, 3ms) == finding(known_version{this->first}));
}

TEST_CASE_FIXTURE(lookup_fixture, "silent_entries_asked_once_more")
{
    lookup sought = this->make({1, 2, 3});
    sought.on_answer(2, unknown_version{}, this->start + 1ms);
    CHECK(sought.take_repeats(this->start + 39ms).empty());
    CHECK(sought.take_repeats(this->start + 40ms) ==
          std::vector<entry_address>{1, 3});
    CHECK(sought.take_repeats(this->start + 80ms).empty());
}

TEST_CASE_FIXTURE(lookup_fixture, "no_answer_unknown_after_150_ms")
{
    const lookup sought = this->make({1, 2}, this->first);
    CHECK(this->is_open(sought, 149ms));
    CHECK(this->found_at(sought, 150ms) == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(lookup_fixture, "all_answer_unknown_decided_at_once")
{
    lookup sought = this->make({1, 2});
    sought.on_answer(1, unknown_version{}, this->start);
    sought.on_answer(2, unknown_version{}, this->start);
    CHECK(this->found_at(sought, 0ms) == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(lookup_fixture, "history_of_another_entry_decides_at_end")
{
    lookup sought = this->make({1, 2});
    sought.on_answer(1, single_version{this->first}, this->start);
    CHECK(this->is_open(sought, 149ms));
    CHECK(this->found_at(sought, 150ms) ==
          finding(single_version{this->first}));
}

TEST_CASE_FIXTURE(lookup_fixture, "own_history_with_another_answer_counts")
{
    lookup sought = this->make({1, 2}, this->first);
    sought.on_answer(1, unknown_version{}, this->start);
    CHECK(this->found_at(sought, 150ms) ==
          finding(single_version{this->first}));
}

TEST_CASE_FIXTURE(lookup_fixture, "own_history_without_other_entries_counts")
{
    CHECK(this->found_at(this->make({}, this->first), 0ms) ==
          finding(single_version{this->first}));
    CHECK(this->found_at(this->make({}), 0ms) == finding(unknown_version{}));
}

// Entries that are partly cut off see different versions.
TEST_CASE_FIXTURE(lookup_fixture, "differing_histories_unknown")
{
    lookup sought = this->make({1, 2}, this->first);
    sought.on_answer(1, single_version{this->second}, this->start);
    sought.on_answer(2, single_version{this->second}, this->start);
    CHECK(this->found_at(sought, 0ms) == finding(unknown_version{}));
}

// An entry with an outdated view sees one version where others see two.
TEST_CASE_FIXTURE(lookup_fixture, "several_versions_seen_by_one_unknown")
{
    lookup sought = this->make({1, 2, 3}, this->first);
    sought.on_answer(1, single_version{this->first}, this->start);
    sought.on_answer(2, several_versions{}, this->start);
    sought.on_answer(3, single_version{this->first}, this->start);
    CHECK(this->found_at(sought, 0ms) == finding(unknown_version{}));

    const lookup own(stream_id(7), {}, several_versions{}, this->start);
    CHECK(this->found_at(own, 0ms) == finding(unknown_version{}));
}

TEST_CASE_FIXTURE(lookup_fixture, "answer_of_an_entry_not_asked_ignored")
{
    lookup sought = this->make({1, 2});
    sought.on_answer(9, known_version{this->first}, this->start);
    CHECK(this->is_open(sought, 1ms));
}

TEST_CASE_FIXTURE(lookup_fixture, "repeated_answer_counts_once")
{
    lookup sought = this->make({1, 2});
    sought.on_answer(1, unknown_version{}, this->start);
    sought.on_answer(1, unknown_version{}, this->start);
    CHECK(this->is_open(sought, 1ms));
}

} // namespace greengagedrum::versions
