// Which entry sends a large configuration to which other.
#include <greengagedrum/entry/transfer_sources.hpp>

#include <doctest/doctest.h>

#include <vector>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr gossip::ipv4_address own = 1;
constexpr std::uint64_t revision = 9;
constexpr std::uint64_t weak_link = 1'250'000;    // 10 Mbit/s
constexpr std::uint64_t strong_link = 25'000'000; // 200 Mbit/s

struct sources_fixture {
    base::instant now{1h};
    transfer_sources sources;
    std::vector<configuration_holder> holders{{own}};

    std::optional<gossip::ipv4_address> assign(gossip::ipv4_address receiver)
    {
        return this->sources.assign(
            receiver, this->holders, revision, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(sources_fixture, "entry_serves_three_receivers_at_a_time")
{
    CHECK(this->assign(10) == own);
    CHECK(this->assign(11) == own);
    CHECK(this->assign(12) == own);
    CHECK_FALSE(this->assign(13));
    this->sources.on_revision(11, revision);
    CHECK(this->assign(13) == own);
}

TEST_CASE_FIXTURE(sources_fixture, "receivers_are_spread_over_all_holders")
{
    this->holders = {{own}, {2}, {3}};
    std::vector<int> served(4);
    for (gossip::ipv4_address receiver = 10; receiver < 19; ++receiver)
        served[this->assign(receiver).value()] += 1;
    CHECK(served == std::vector<int>{0, 3, 3, 3});
    CHECK_FALSE(this->assign(19));
}

// A holder may have been stopped since it reported.
TEST_CASE_FIXTURE(sources_fixture,
                  "receiver_that_asks_again_gets_another_holder")
{
    this->holders = {{own}, {2}};
    CHECK(this->assign(10) == own);
    CHECK(this->assign(11) == 2);
    CHECK(this->assign(11) == own);
    this->holders = {{own}};
    CHECK(this->assign(10) == own);
}

// Receivers that were stopped would hold all transfers for good.
TEST_CASE_FIXTURE(sources_fixture,
                  "transfer_without_a_report_ends_after_a_time")
{
    for (gossip::ipv4_address receiver = 10; receiver < 13; ++receiver)
        CHECK(this->assign(receiver) == own);
    this->sources.on_revision(10, revision - 1);
    CHECK_FALSE(this->assign(13));
    this->now += 500ms;
    CHECK(this->assign(13) == own);
}

// Failure guarded against: a small entry serves as many as a large one, and its
// link delays all of them and its own packets.
TEST_CASE_FIXTURE(sources_fixture, "entry_with_larger_link_serves_more")
{
    this->holders = {{own, weak_link}, {2, strong_link}};
    std::vector<int> served(3);
    for (gossip::ipv4_address receiver = 10; receiver < 19; ++receiver)
        served[this->assign(receiver).value()] += 1;
    CHECK(served == std::vector<int>{0, 1, 8});
    CHECK_FALSE(this->assign(19));
}

TEST_CASE_FIXTURE(sources_fixture, "congested_entry_serves_none_beside_others")
{
    this->holders = {{own, strong_link, true}, {2, weak_link}};
    CHECK(this->assign(10) == 2);
    CHECK_FALSE(this->assign(11));
}

// If the only others are congested too, or asking, the configuration still has
// to arrive.
TEST_CASE_FIXTURE(sources_fixture,
                  "congested_entry_serves_if_all_are_congested")
{
    this->holders = {{own, strong_link, true}, {2, weak_link, true}};
    CHECK(this->assign(10) == own);
    this->holders = {{own, strong_link, true}, {11, weak_link}};
    CHECK(this->assign(11) == own);
}

} // namespace greengagedrum::entry
