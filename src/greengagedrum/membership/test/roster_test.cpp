#include <greengagedrum/membership/test/roster_fixture.hpp>

namespace greengagedrum::membership
{

using namespace std::chrono_literals;

TEST_CASE_FIXTURE(roster_fixture, "roster_peer_silent_suspect_then_gone")
{
    CHECK(this->state("zona-4-b") == peer_state::never_heard);
    this->link("zona-4-b", 20);
    CHECK(this->receive("zona-4-b", 20));
    CHECK(this->state("zona-4-b") == peer_state::alive);
    CHECK(this->tested.alive_count() == 2);
    this->advance(3600ms);
    CHECK(this->state("zona-4-b") == peer_state::suspect);
    CHECK(this->view("zona-4-b").silence == 3600ms);
    this->advance(2600ms);
    CHECK(this->state("zona-4-b") == peer_state::gone);
    const auto changes = this->tested.take_changes();
    REQUIRE(changes.size() == 3);
    CHECK(changes[2].state == peer_state::gone);
    CHECK(this->tested.take_changes().empty());
}

// The process is stopped for ten seconds (a paused machine) and resumed. Peers
// consider it gone and may have taken over what it held. The heartbeats waiting
// in its sockets must not count as current.
TEST_CASE_FIXTURE(roster_fixture, "roster_paused_past_lease_requires_new_link")
{
    this->link("zona-4-b", 20);
    this->receive("zona-4-b", 20);
    this->now += 10s;
    CHECK(!this->receive("zona-4-b", 20)); // read from the old link
    CHECK(this->tested.paused());
    CHECK(this->tested.pause_count() == 1);
    this->advance(400ms);
    CHECK(this->tested.paused());
    CHECK(this->state("zona-4-b") !=
          peer_state::gone); // this process paused, the peer did not
    this->link("zona-4-b", 20);
    CHECK(this->tested.paused());
    CHECK(this->receive("zona-4-b", 20));
    CHECK(!this->tested.paused());
    CHECK(this->state("zona-4-b") == peer_state::alive);
}

TEST_CASE_FIXTURE(roster_fixture, "roster_stopped_within_lease_not_paused")
{
    this->tested.tick(this->now);
    this->now += 2900ms;
    this->tested.tick(this->now);
    CHECK(!this->tested.paused());
}

// An entry without peers receives no heartbeat after a pause. Only a response
// of the platform to a request sent after the pause ends the paused state.
TEST_CASE_FIXTURE(roster_fixture,
                  "roster_single_entry_paused_until_platform_answers")
{
    roster only_entry(options("zona-4-a", 10));
    instance_list list;
    list.revision = 1;
    list.instances = {entry("zona-4", 'a')};
    only_entry.update_list(list, this->now);
    const base::instant before_pause = this->now;
    this->now += 10s;
    only_entry.tick(this->now);
    only_entry.on_platform_response(before_pause);
    CHECK(only_entry.paused());
    only_entry.on_platform_response(this->now + 1ms);
    CHECK(!only_entry.paused());
}

// While this process was paused, the platform started another one in its slot.
// A peer that knows the new incarnation reports it. From then on this process
// must not grant anything.
TEST_CASE_FIXTURE(roster_fixture,
                  "roster_higher_incarnation_in_own_slot_superseded")
{
    heartbeat received = this->heartbeat_from("zona-4-b", 20);
    received.known_incarnations = {
        {base::slot_id("zona-4-a"), base::incarnation{11}}};
    this->link("zona-4-b", 20);
    CHECK(!this->tested.superseded());
    this->tested.receive_heartbeat(received, this->now);
    CHECK(this->tested.superseded());
    CHECK(!this->tested.rank().has_value());
    received = this->heartbeat_from("zona-4-b", 20);
    received.known_incarnations = {
        {base::slot_id("zona-4-a"), base::incarnation{10}}};
    this->tested.receive_heartbeat(received, this->now);
    CHECK(this->tested.superseded());
}

// A peer restarts. Delayed heartbeats of its old process arrive after the first
// one of the new process and must not restore the old state.
TEST_CASE_FIXTURE(roster_fixture,
                  "roster_peer_restarted_heartbeat_of_old_process_ignored")
{
    this->link("zona-4-b", 20);
    this->receive("zona-4-b", 20);
    const heartbeat delayed = this->heartbeat_from("zona-4-b", 20);
    this->sequences["zona-4-b"] = 0;
    CHECK(this->receive("zona-4-b", 21)); // sequence restarts at one
    CHECK(!this->tested.receive_heartbeat(delayed, this->now));
    CHECK(this->view("zona-4-b").incarnation.value == 21);
    CHECK(this->tested.highest_incarnation(base::slot_id("zona-4-b")).value ==
          21);
}

TEST_CASE_FIXTURE(roster_fixture, "roster_repeated_heartbeat_ignored")
{
    this->link("zona-4-b", 20);
    const heartbeat first = this->heartbeat_from("zona-4-b", 20);
    const heartbeat second = this->heartbeat_from("zona-4-b", 20);
    CHECK(this->tested.receive_heartbeat(second, this->now));
    CHECK(!this->tested.receive_heartbeat(first, this->now));
    CHECK(!this->tested.receive_heartbeat(second, this->now));
}

// An incarnation reported by one peer must reach peers that have no link to it.
TEST_CASE_FIXTURE(roster_fixture, "roster_new_incarnation_forwarded")
{
    const base::slot_id slot("zona-9-c");
    this->tested.learn_incarnation(slot, base::incarnation{70});
    this->tested.next_message(0);
    CHECK(!this->tested.heartbeat_is_urgent());
    this->tested.learn_incarnation(slot, base::incarnation{77});
    CHECK(this->tested.heartbeat_is_urgent());
    const auto carries_new = [slot](const heartbeat& sent) {
        return std::any_of(sent.known_incarnations.begin(),
                           sent.known_incarnations.end(),
                           [slot](const auto& known) {
                               return known.slot == slot &&
                                      known.incarnation.value == 77;
                           });
    };
    CHECK(carries_new(this->tested.next_message(0)));
    CHECK(!this->tested.heartbeat_is_urgent());
    // Repeated later as well, for a peer that missed it.
    int carried = 0;
    for (int round = 0; round < 40; ++round)
        carried += carries_new(this->tested.next_message(0)) ? 1 : 0;
    CHECK(carried >= 4);
}

// The platform's service fails over to a lagging replica and returns a list in
// which an instance that has left is live again.
TEST_CASE_FIXTURE(roster_fixture, "roster_older_list_ignored")
{
    instance_list newer = two_data_centres(7);
    newer.instances.pop_back();
    CHECK(this->tested.update_list(newer, this->now));
    CHECK(!this->tested.update_list(two_data_centres(6), this->now));
    CHECK(!this->tested.update_list(two_data_centres(7), this->now));
    CHECK(this->tested.list().revision == 7);
    CHECK(this->tested.list().instances.size() == 5);
    CHECK(this->tested.next_message(0).list_revision == 7);
}

// The list changes, say an upstream is leaving. The platform notifies this
// entry first and the others seconds later. All entries must stop dispatching
// to the upstream within 2 s.
TEST_CASE_FIXTURE(roster_fixture, "roster_newer_list_forwarded_to_peers_behind")
{
    for (const char* slot : {"zona-4-b", "zona-4-c", "zona-9-a"}) {
        this->link(slot, 20);
        this->receive(slot, 20);
    }
    this->advance(1s, {"zona-4-b", "zona-4-c", "zona-9-a"});
    CHECK(this->tested.list_receivers(this->now).empty());
    this->tested.update_list(two_data_centres(6), this->now);
    CHECK(this->tested.list_receivers(this->now).empty());
    heartbeat up_to_date = this->heartbeat_from("zona-4-c", 20);
    up_to_date.list_revision = 6;
    this->tested.receive_heartbeat(up_to_date, this->now);
    this->advance(1200ms);
    auto receivers = this->tested.list_receivers(this->now);
    std::sort(receivers.begin(), receivers.end());
    std::vector<base::slot_id> behind = {base::slot_id("zona-4-b"),
                                         base::slot_id("zona-9-a")};
    std::sort(behind.begin(), behind.end());
    CHECK(receivers == behind);
    CHECK(this->tested.list_receivers(this->now).empty());
}

TEST_CASE_FIXTURE(roster_fixture, "roster_peer_leaving_not_counted_then_gone")
{
    this->link("zona-4-b", 20);
    this->receive("zona-4-b", 20);
    CHECK(this->tested.alive_count() == 2);
    heartbeat leaving = this->heartbeat_from("zona-4-b", 20);
    leaving.leaving = true;
    this->tested.receive_heartbeat(leaving, this->now);
    CHECK(this->state("zona-4-b") == peer_state::leaving);
    CHECK(this->tested.alive_count() == 1);
    this->unlink("zona-4-b");
    CHECK(this->state("zona-4-b") == peer_state::gone);
}

// The other data centre is partitioned, so all its entries become silent. The
// roster must distinguish this from the failure of one entry, until the
// partition heals.
TEST_CASE_FIXTURE(roster_fixture,
                  "roster_partition_data_centre_silent_until_healed")
{
    const base::data_centre_id remote("zona-9");
    // Never heard, so not known to be silent.
    CHECK(!this->tested.data_centre_silent(remote));
    for (const char* slot : {"zona-4-b", "zona-9-a", "zona-9-b"}) {
        this->link(slot, 20);
        this->receive(slot, 20);
    }
    this->unlink("zona-9-a");
    CHECK(this->state("zona-9-a") == peer_state::suspect);
    CHECK(!this->tested.data_centre_silent(remote));
    this->unlink("zona-9-b");
    CHECK(this->tested.data_centre_silent(remote));
    CHECK(!this->tested.data_centre_silent(base::data_centre_id("zona-4")));
    this->advance(10s, {"zona-4-b"});
    CHECK(this->state("zona-9-a") == peer_state::gone);
    CHECK(this->state("zona-4-b") == peer_state::alive);
    CHECK(!this->tested.paused());
    this->link("zona-9-a", 20);
    CHECK(this->receive("zona-9-a", 20));
    CHECK(this->state("zona-9-a") == peer_state::alive);
    CHECK(!this->tested.data_centre_silent(remote));
}

TEST_CASE_FIXTURE(roster_fixture, "roster_lower_slots_live_rank_counts_them")
{
    std::vector<std::string> names = {"zona-4-a", "zona-4-b", "zona-4-c"};
    std::sort(names.begin(), names.end(), [](const auto& x, const auto& y) {
        return base::slot_id(x) < base::slot_id(y);
    });
    roster last(options(names[2], 10));
    last.update_list(two_data_centres(5), this->now);
    CHECK(last.rank() == 0U); // no heartbeat received yet
    for (const std::string& slot : {names[0], names[1]}) {
        last.link_up(base::slot_id(slot), base::incarnation{20}, this->now);
        last.receive_heartbeat(this->heartbeat_from(slot, 20), this->now);
    }
    CHECK(last.rank() == 2U);
    CHECK(last.listed_peer_count() == 2);
    CHECK(last.heard_peer_count(this->now) == 2);
    last.link_down(base::slot_id(names[0]), this->now);
    CHECK(last.rank() == 1U);
    last.start_leaving();
    CHECK(!last.rank().has_value());
    CHECK(last.next_message(0).leaving);
}

} // namespace greengagedrum::membership
