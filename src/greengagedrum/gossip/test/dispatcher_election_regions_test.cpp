// Tests what is different in the election where entries stand in several
// regions.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t small_share = 120;

struct region_fixture {
    base::instant now{1h};
    dispatcher_election election{
        50, base::data_centre_id("hall"), small_share, base::instant()};

    region_fixture()
    {
        this->election.set_regions(
            {base::data_centre_id("hall"),
             {{"hall", "south"}, {"yard", "south"}, {"moor", "north"}}});
    }

    message message_from(ipv4_address address,
                         std::uint32_t cpu_millicores,
                         const char* data_centre)
    {
        message out;
        out.address = address;
        out.cpu_millicores = cpu_millicores;
        out.data_centre = data_centre;
        return out;
    }

    void receive_from(ipv4_address address)
    {
        this->election.on_message(
            this->message_from(address, small_share, "hall"), this->now);
    }

    void receive_from_region(const char* data_centre, bool accepts_compressed)
    {
        message sent = this->message_from(7, small_share, data_centre);
        sent.accepts_compressed = accepts_compressed;
        this->election.on_message(sent, this->now);
    }

    std::size_t dispatchers_after(base::duration silence) const
    {
        return this->election.other_dispatcher_count(this->now + silence);
    }
};

} // namespace

// Failure guarded against: thirty entries in two regions send from each to each
// over the link between them.
TEST_CASE_FIXTURE(region_fixture, "several_regions_dispatchers_used_from_nine")
{
    for (ipv4_address address = 100; address < 107; ++address)
        this->receive_from(address);
    CHECK_FALSE(this->election.uses_dispatchers(this->now));
    this->receive_from(107);
    CHECK(this->election.uses_dispatchers(this->now));
    this->now += 29s;
    for (ipv4_address address = 100; address < 106; ++address)
        this->receive_from(address);
    this->now += 2s;
    CHECK(this->election.uses_dispatchers(this->now)); // seven are left
    this->now += 31s;
    CHECK_FALSE(this->election.uses_dispatchers(this->now));
}

// Failure guarded against: a dispatcher of another region that sends every
// 400 ms is taken for gone between its messages.
TEST_CASE_FIXTURE(region_fixture, "other_region_live_for_three_long_intervals")
{
    this->receive_from_region("moor", true);
    CHECK(this->election.uses_region_interval(7));
    CHECK(this->dispatchers_after(1450ms) == 1);
    CHECK(this->dispatchers_after(1451ms) == 0);
}

// An entry of the version before neither reads compressed messages nor expects
// the longer interval.
TEST_CASE_FIXTURE(region_fixture, "other_region_of_version_before_as_today")
{
    this->receive_from_region("moor", false);
    CHECK(this->election.is_in_other_region(7));
    CHECK_FALSE(this->election.uses_region_interval(7));
    CHECK(this->dispatchers_after(351ms) == 0);
}

TEST_CASE_FIXTURE(region_fixture, "own_region_keeps_the_short_interval")
{
    this->receive_from_region("yard", true);
    CHECK_FALSE(this->election.uses_region_interval(7));
    CHECK(this->dispatchers_after(351ms) == 0);
}

} // namespace greengagedrum::gossip
