// Tests when messages of changes and heartbeats are due.
#include <greengagedrum/gossip/gossip_schedule.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr recipient_group own_data_centre = recipient_group::own_data_centre;
constexpr recipient_group other_data_centres =
    recipient_group::other_data_centres;

struct schedule_fixture {
    base::instant now{1h};
    gossip_schedule schedule;

    schedule_fixture()
    {
        this->schedule.on_sent(own_data_centre, this->now);
        this->schedule.on_sent(other_data_centres, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(schedule_fixture, "small_fleet_change_same_interval_for_all")
{
    this->schedule.set_full_mesh_intervals(1, 7);
    this->schedule.on_change();
    CHECK_FALSE(this->schedule.is_due(other_data_centres, this->now + 9ms));
    CHECK(this->schedule.is_due(own_data_centre, this->now + 10ms));
    CHECK(this->schedule.is_due(other_data_centres, this->now + 10ms));
}

// Eighty entries. A slot is taken while a message to other data centres is due
// in 150 ms. The own data centre still has to learn of it within its 20 ms, or
// twenty entries dispatch to the same slot.
TEST_CASE_FIXTURE(schedule_fixture,
                  "own_data_centre_message_due_elsewhere_not_delayed")
{
    this->schedule.set_full_mesh_intervals(19, 79);
    this->now += 30ms;
    this->schedule.on_change();
    this->schedule.on_sent(own_data_centre, this->now);
    CHECK(*this->schedule.next_due() ==
          base::instant(1h + 200ms)); // to other data centres
    this->now += 5ms;
    this->schedule.on_change();
    CHECK(*this->schedule.next_due() == this->now + 14ms);
    CHECK(this->schedule.is_due(own_data_centre, this->now + 14ms));
    CHECK_FALSE(this->schedule.is_due(other_data_centres, this->now + 14ms));
}

TEST_CASE_FIXTURE(schedule_fixture, "schedule_without_change_sends_heartbeat")
{
    CHECK_FALSE(this->schedule.next_due());
    CHECK_FALSE(this->schedule.is_due(own_data_centre, this->now + 199ms));
    CHECK(this->schedule.is_due(own_data_centre, this->now + 200ms));
    CHECK(this->schedule.is_due(other_data_centres, this->now + 200ms));
}

// Failure guarded against: a change pending for regions that don't exist makes
// the timer expire at once, again and again.
TEST_CASE_FIXTURE(schedule_fixture,
                  "single_region_nothing_due_to_other_regions")
{
    this->schedule.on_change();
    this->schedule.on_sent(own_data_centre, this->now);
    this->schedule.on_sent(other_data_centres, this->now);
    CHECK_FALSE(this->schedule.next_due());
    CHECK_FALSE(
        this->schedule.is_due(recipient_group::other_regions, this->now + 1h));
}

TEST_CASE_FIXTURE(schedule_fixture, "several_regions_change_due_after_400_ms")
{
    constexpr auto regions = recipient_group::other_regions;
    this->schedule.set_spans_regions(true);
    this->schedule.set_dispatcher_intervals();
    this->schedule.on_sent(regions, this->now);
    this->schedule.on_change();
    CHECK_FALSE(this->schedule.is_due(regions, this->now + 399ms));
    CHECK(this->schedule.is_due(regions, this->now + 400ms));
    CHECK(this->schedule.is_due(other_data_centres, this->now + 100ms));
}

} // namespace greengagedrum::gossip
