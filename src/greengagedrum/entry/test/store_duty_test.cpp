// Which dispatcher reads the store for another one.
#include <greengagedrum/entry/store_duty.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr gossip::ipv4_address near_entry = 1;
constexpr gossip::ipv4_address nearer_entry = 2;

class store_duty_fixture
{
public:
    store_duty_fixture() { this->duty.set_max_age(2600ms); }

    void receive(gossip::ipv4_address from,
                 base::duration latency,
                 base::duration store_age,
                 bool delegating = false)
    {
        gossip::message message;
        message.address = from;
        message.store_latency = latency;
        message.store_age = store_age;
        message.uptime = 60s;
        message.delegating = delegating;
        this->duty.on_message(message, this->now);
    }

    store_duty duty;
    base::instant now{1h};
};

} // namespace

// The region without the store would read it over the link between regions.
TEST_CASE_FIXTURE(store_duty_fixture,
                  "dispatcher_far_from_the_store_follows_the_nearest_reader")
{
    this->receive(near_entry, 3ms, 100ms);
    this->receive(nearer_entry, 1ms, 100ms);
    CHECK_FALSE(this->duty.nearer_reader(this->now)); // nothing measured yet
    this->duty.record_connect(24ms);
    CHECK(this->duty.nearer_reader(this->now) == nearer_entry);
}

// One slow connect in a burst would send an entry beside the store to another.
TEST_CASE_FIXTURE(store_duty_fixture,
                  "dispatcher_near_the_store_reads_it_whatever_others_need")
{
    this->duty.record_connect(90ms);
    this->duty.record_connect(3ms);
    this->receive(near_entry, 1ms, 100ms);
    CHECK_FALSE(this->duty.nearer_reader(this->now));
}

// An entry that goes on following one that the store rejects would keep an old
// configuration.
TEST_CASE_FIXTURE(store_duty_fixture,
                  "reader_without_recent_answers_of_the_store_is_not_followed")
{
    this->duty.record_connect(24ms);
    this->receive(near_entry, 1ms, 100ms);
    this->receive(nearer_entry, 1ms, 3s);
    CHECK(this->duty.nearer_reader(this->now) == near_entry);
    this->receive(near_entry, 1ms, 3s);
    CHECK_FALSE(this->duty.nearer_reader(this->now));
}

// A reader behind a partition, or one that gave its duty away, is no source.
TEST_CASE_FIXTURE(store_duty_fixture,
                  "silent_or_delegating_reader_is_not_followed")
{
    this->duty.record_connect(24ms);
    this->receive(near_entry, 1ms, 100ms);
    this->now += 1600ms;
    CHECK_FALSE(this->duty.nearer_reader(this->now));
    this->receive(near_entry, 1ms, 100ms);
    CHECK(this->duty.nearer_reader(this->now) == near_entry);
    this->receive(near_entry, 1ms, 100ms, true);
    CHECK_FALSE(this->duty.nearer_reader(this->now));
}

} // namespace greengagedrum::entry
