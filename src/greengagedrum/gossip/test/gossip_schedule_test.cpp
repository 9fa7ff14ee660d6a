// How soon a place that was taken is known elsewhere.
#include <greengagedrum/gossip/gossip_schedule.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr recipient_group near = recipient_group::own_data_centre;
constexpr recipient_group far = recipient_group::other_data_centres;

struct schedule_fixture {
    base::instant now{1h};
    gossip_schedule tested;

    schedule_fixture()
    {
        this->tested.on_sent(near, this->now);
        this->tested.on_sent(far, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(schedule_fixture, "few_entries_are_all_told_alike")
{
    this->tested.set_full_mesh_intervals(1, 7);
    this->tested.on_change();
    CHECK_FALSE(this->tested.is_due(far, this->now + 9ms));
    CHECK(this->tested.is_due(near, this->now + 10ms));
    CHECK(this->tested.is_due(far, this->now + 10ms));
}

// Eighty entries. A place is taken while a message to other data centres is
// owed in 150 ms: the own data centre hears of it in its 20 ms all the same, or
// twenty entries meet on that place.
TEST_CASE_FIXTURE(schedule_fixture, "message_due_far_away_delays_none_nearby")
{
    this->tested.set_full_mesh_intervals(19, 79);
    this->now += 30ms;
    this->tested.on_change();
    this->tested.on_sent(near, this->now);
    CHECK(*this->tested.next_due() == base::instant(1h + 200ms)); // the far one
    this->now += 5ms;
    this->tested.on_change();
    CHECK(*this->tested.next_due() == this->now + 14ms);
    CHECK(this->tested.is_due(near, this->now + 14ms));
    CHECK_FALSE(this->tested.is_due(far, this->now + 14ms));
}

TEST_CASE_FIXTURE(schedule_fixture, "quiet_entry_gives_a_sign_of_life")
{
    CHECK_FALSE(this->tested.next_due());
    CHECK_FALSE(this->tested.is_due(near, this->now + 199ms));
    CHECK(this->tested.is_due(near, this->now + 200ms));
    CHECK(this->tested.is_due(far, this->now + 200ms));
}

} // namespace greengagedrum::gossip
