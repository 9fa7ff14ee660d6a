#include <greengagedrum/versions/entry_choice.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace greengagedrum::versions
{

namespace
{

struct entry_choice_fixture {
    base::data_centre_id own{"own"};

    // Addresses from 1 on: first the near ones, then the far ones in turn over
    // three data centres.
    std::vector<known_entry> entries(std::size_t near, std::size_t far) const
    {
        std::vector<known_entry> out;
        for (std::size_t one = 0; one < near + far; ++one)
            out.push_back(
                {static_cast<entry_address>(one + 1),
                 one < near ? this->own : base::data_centre_id(1 + one % 3)});
        return out;
    }

    std::vector<entry_address> holders(std::uint64_t stream,
                                       std::span<const known_entry> known) const
    {
        return choose_holders(stream_id(stream), this->own, known);
    }

    static std::size_t near_count(std::span<const entry_address> chosen,
                                  std::size_t near)
    {
        return static_cast<std::size_t>(
            std::count_if(chosen.begin(), chosen.end(), [near](auto address) {
                return address <= near;
            }));
    }
};

} // namespace

TEST_CASE_FIXTURE(entry_choice_fixture,
                  "several_data_centres_two_holders_near_and_one_far")
{
    const auto known = entries(4, 8);
    for (std::uint64_t stream = 1; stream < 100; ++stream) {
        const auto chosen = this->holders(stream, known);
        CHECK(chosen.size() == 3);
        CHECK(near_count(chosen, 4) == 2);
    }
}

TEST_CASE_FIXTURE(entry_choice_fixture, "too_few_near_others_take_their_place")
{
    CHECK(this->holders(7, entries(1, 8)).size() == 3);
    CHECK(this->holders(7, entries(0, 8)).size() == 3);
    CHECK(this->holders(7, entries(8, 0)).size() == 3);
    CHECK(this->holders(7, entries(1, 1)).size() == 2);
    CHECK(this->holders(7, {}).empty());
}

TEST_CASE_FIXTURE(entry_choice_fixture, "order_of_known_entries_without_effect")
{
    auto known = entries(4, 8);
    const auto chosen = this->holders(7, known);
    std::reverse(known.begin(), known.end());
    CHECK(this->holders(7, known) == chosen);
}

TEST_CASE_FIXTURE(entry_choice_fixture, "many_streams_holders_spread_evenly")
{
    const auto known = entries(10, 0);
    std::vector<std::size_t> held(known.size() + 1);
    for (std::uint64_t stream = 1; stream <= 1000; ++stream)
        for (const entry_address one : this->holders(stream, known))
            held[one] += 1;
    CHECK(*std::min_element(held.begin() + 1, held.end()) > 220);
    CHECK(*std::max_element(held.begin(), held.end()) < 380);
}

// The writer may be of any data centre, and may have been killed with two of
// the entries that hold its record.
TEST_CASE_FIXTURE(entry_choice_fixture, "asked_entries_include_all_holders")
{
    const auto known = this->entries(20, 60);
    std::vector<known_entry> with_writer = known;
    with_writer.push_back({1000, this->own});
    for (std::uint64_t stream = 1; stream < 200; ++stream) {
        const auto asked =
            choose_entries_to_ask(stream_id(stream), with_writer);
        const std::set<entry_address> distinct(asked.begin(), asked.end());
        CHECK(distinct.size() == asked.size());
        CHECK(asked.size() <= 14);
        for (const entry_address one : this->holders(stream, known))
            CHECK(distinct.contains(one));
    }
}

TEST_CASE_FIXTURE(entry_choice_fixture,
                  "many_data_centres_number_of_asked_bounded")
{
    std::vector<known_entry> known;
    for (std::uint64_t one = 1; one <= 60; ++one)
        known.push_back({static_cast<entry_address>(one),
                         base::data_centre_id(1 + one % 20)});
    CHECK(choose_entries_to_ask(stream_id(7), known).size() == 16);
}

} // namespace greengagedrum::versions
