#include <greengagedrum/quarantine/blame.hpp>

#include <doctest/doctest.h>

#include <initializer_list>
#include <string>

namespace greengagedrum::quarantine
{

namespace
{

struct blame_fixture {
    std::vector<blame_candidate> candidates;

    void add(std::initializer_list<int> crashes, std::size_t threshold = 2)
    {
        blame_candidate out;
        out.threshold = threshold;
        for (const int one : crashes)
            out.crashes.emplace_back("i-" + std::to_string(one));
        this->candidates.push_back(out);
    }

    std::vector<blame> assign() const { return assign_blame(this->candidates); }
};

using verdicts = std::vector<blame>;

} // namespace

TEST_CASE_FIXTURE(blame_fixture, "part_in_one_crash_open")
{
    this->add({1});
    this->add({});
    CHECK(this->assign() == verdicts{blame::open, blame::open});
}

TEST_CASE_FIXTURE(blame_fixture, "part_in_most_crashes_alone_blamed")
{
    this->add({1, 2});
    this->add({1, 2, 3});
    this->add({3});
    this->add({4});
    CHECK(
        this->assign() ==
        verdicts{blame::explained, blame::sole, blame::explained, blame::open});
}

// A sound part that was there at two crashes by chance would be quarantined.
TEST_CASE_FIXTURE(blame_fixture, "parts_present_by_chance_not_blamed")
{
    this->add({1, 2, 3, 4, 5, 6});
    for (int first = 1; first < 5; ++first)
        this->add({first, first + 1});
    const verdicts found = this->assign();
    CHECK(found.front() == blame::sole);
    for (std::size_t at = 1; at < found.size(); ++at)
        CHECK(found.at(at) == blame::explained);
}

TEST_CASE_FIXTURE(blame_fixture, "two_parts_with_own_crashes_both_blamed")
{
    this->add({1, 2, 3});
    this->add({4, 5, 1});
    CHECK(this->assign() == verdicts{blame::sole, blame::sole});
}

TEST_CASE_FIXTURE(blame_fixture, "parts_always_together_ambiguous")
{
    this->add({1, 2, 3});
    this->add({1, 2, 3});
    CHECK(this->assign() == verdicts{blame::ambiguous, blame::ambiguous});
}

// Two parts that crash upstreams always come with a sound one, which alone
// would explain all of the crashes.
TEST_CASE_FIXTURE(blame_fixture, "part_with_several_alternatives_ambiguous")
{
    this->add({1, 2, 3});
    this->add({1, 2});
    this->add({2, 3});
    CHECK(this->assign() ==
          verdicts{blame::ambiguous, blame::ambiguous, blame::ambiguous});
    this->add({4, 5});
    CHECK(this->assign().back() == blame::sole);
}

// A part that was answered shortly before needs more crashes.
TEST_CASE_FIXTURE(blame_fixture, "part_below_its_threshold_not_blamed")
{
    this->add({1, 2}, 3);
    CHECK(this->assign() == verdicts{blame::open});
    this->add({1, 2});
    CHECK(this->assign() == verdicts{blame::explained, blame::sole});
}

// A part with one crash is no explanation, or each request's own part would
// be one.
TEST_CASE_FIXTURE(blame_fixture,
                  "own_crashes_without_those_of_blamable_parts_counted")
{
    this->add({1, 2, 3});
    this->add({1, 2});
    this->add({3});
    this->add({4, 5}, 3);
    this->add({4, 5});
    CHECK(count_own_crashes(this->candidates) ==
          std::vector<std::size_t>{1, 0, 0, 0, 2});
}

} // namespace greengagedrum::quarantine
