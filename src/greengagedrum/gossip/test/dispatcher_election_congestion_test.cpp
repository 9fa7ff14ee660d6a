// Tests the election where entries announce that they are congested, from the
// view of one entry.
#include <greengagedrum/gossip/congestion_codec.hpp>
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t small_share = 120;
constexpr std::uint32_t large_share = 500;

struct congestion_fixture {
    base::instant now{std::chrono::hours(1)};
    dispatcher_election election{
        50, base::data_centre_id("hall"), small_share, base::instant()};

    static message message_from(ipv4_address address, std::uint32_t share)
    {
        message out;
        out.address = address;
        out.cpu_millicores = share;
        out.data_centre = "hall";
        out.uptime = 1h;
        return out;
    }

    // A message of the dispatcher, which lists a live entry.
    void receive_from_dispatcher(ipv4_address address,
                                 bool congested,
                                 std::optional<known_entry> listed = {})
    {
        message sent = message_from(address, large_share);
        sent.dispatching = true;
        sent.congested = congested;
        if (listed) {
            listed->data_centre = base::data_centre_id("hall");
            sent.known_entries = {*listed};
        }
        this->election.on_message(sent, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(congestion_fixture, "congested_dispatcher_is_succeeded")
{
    this->receive_from_dispatcher(70, false);
    CHECK(this->election.dispatcher(this->now) == 70);
    this->receive_from_dispatcher(70, true);
    CHECK_FALSE(this->election.dispatcher(this->now));
    CHECK(this->election.succeeds_congested());
    CHECK(this->election.probe_targets(this->now).empty());
}

// Failure guarded against: all members leave a congested dispatcher that still
// serves, and dispatch by themselves until one of them is found.
TEST_CASE_FIXTURE(congestion_fixture,
                  "congested_dispatcher_serves_until_succeeded")
{
    this->receive_from_dispatcher(70, false);
    CHECK(this->election.dispatcher(this->now) == 70);
    this->receive_from_dispatcher(
        70, true, known_entry{40, 100ms, {}, small_share});
    CHECK(this->election.dispatcher(this->now) == 70);
    // It is asked whether it dispatches by now.
    CHECK(this->election.probe_targets(this->now) ==
          std::vector<ipv4_address>{40});
    this->election.on_message(message_from(40, small_share), this->now);
    CHECK(this->election.dispatcher(this->now) == 40);
}

TEST_CASE_FIXTURE(congestion_fixture, "congested_successor_is_not_awaited")
{
    this->receive_from_dispatcher(70, false);
    CHECK(this->election.dispatcher(this->now) == 70);
    this->receive_from_dispatcher(
        70, true, known_entry{40, 100ms, {}, small_share, true});
    CHECK_FALSE(this->election.dispatcher(this->now));
}

TEST_CASE_FIXTURE(congestion_fixture, "silent_successor_is_not_awaited")
{
    this->receive_from_dispatcher(70, false);
    CHECK(this->election.dispatcher(this->now) == 70);
    this->receive_from_dispatcher(
        70, true, known_entry{40, 300ms, {}, small_share});
    CHECK(this->election.dispatcher(this->now) == 70);
    this->now += 800ms;
    this->receive_from_dispatcher(70, true);
    CHECK_FALSE(this->election.dispatcher(this->now));
}

// Failure guarded against: the next entry waits for one that is lost as well.
TEST_CASE_FIXTURE(congestion_fixture, "lost_dispatcher_is_no_successor")
{
    this->receive_from_dispatcher(
        70, false, known_entry{40, 50ms, {}, small_share});
    CHECK(this->election.dispatcher(this->now) == 70);
    this->now += 360ms;
    CHECK_FALSE(this->election.dispatcher(this->now));
    CHECK(this->election.successors_before_self(this->now) == 1);
    this->now += 700ms;
    CHECK(this->election.successors_before_self(this->now) == 0);
}

TEST_CASE_FIXTURE(congestion_fixture,
                  "ranking_is_unchanged_if_all_are_congested")
{
    this->election.set_congested(true);
    this->receive_from_dispatcher(70, true);
    CHECK(this->election.dispatcher(this->now) == 70);
    CHECK_FALSE(this->election.succeeds_congested());
}

TEST_CASE_FIXTURE(congestion_fixture, "congested_entry_follows_any_that_is_not")
{
    this->election.set_congested(true);
    message weak = message_from(90, small_share / 2);
    weak.dispatching = true;
    this->election.on_message(weak, this->now);
    CHECK(this->election.dispatcher(this->now) == 90);
}

// A process that has just started knows nothing of the upstreams.
TEST_CASE_FIXTURE(congestion_fixture,
                  "recently_started_entry_succeeds_no_congested_one")
{
    dispatcher_election fresh(
        50, base::data_centre_id("hall"), small_share, this->now);
    message sent = message_from(70, large_share);
    sent.dispatching = true;
    sent.congested = true;
    fresh.on_message(sent, this->now);
    CHECK(fresh.dispatcher(this->now) == 70);
    this->now += 10s;
    fresh.on_message(sent, this->now);
    CHECK_FALSE(fresh.dispatcher(this->now));
}

TEST_CASE("congestion_encoded_decodes_to_same_fields")
{
    message sent;
    sent.congested = true;
    sent.link_bytes_per_second = 1'250'000;
    sent.known_entries = {{7, 10ms, {}, 120, false}, {8, 10ms, {}, 120, true}};
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    CHECK(read->congested);
    CHECK(read->link_bytes_per_second == 1'250'000);
    REQUIRE(read->known_entries.size() == 2);
    CHECK_FALSE(read->known_entries.front().congested);
    CHECK(read->known_entries.back().congested);
}

// An entry of the previous version, and one whose settings don't ask for the
// assignment of duties by load, send none of the fields.
TEST_CASE("message_without_congestion_has_none_of_its_fields")
{
    message sent;
    sent.known_entries = {{7, 10ms, {}, 120, false}};
    const std::string bytes = encode(sent);
    const auto* root = flatbuffers::GetRoot<wire::Message>(bytes.data());
    CHECK(root->known_congested() == nullptr);
    const auto* table = reinterpret_cast<const flatbuffers::Table*>(root);
    CHECK_FALSE(table->CheckField(wire::Message::VT_CONGESTED));
    CHECK_FALSE(table->CheckField(wire::Message::VT_LINK_BYTES_PER_SECOND));
    const auto read = decode_message(bytes);
    REQUIRE(read);
    CHECK_FALSE(read->congested);
    CHECK_FALSE(read->known_entries.front().congested);
}

} // namespace greengagedrum::gossip
