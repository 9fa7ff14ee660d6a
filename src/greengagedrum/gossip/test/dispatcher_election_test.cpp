// Tests the election of dispatchers, from the view of one entry.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t small_share = 120;
constexpr std::uint32_t large_share = 500;
const base::data_centre_id hall("hall");
const base::data_centre_id yard("yard");

bool has_address(const std::vector<ipv4_address>& list, ipv4_address address)
{
    return std::find(list.begin(), list.end(), address) != list.end();
}

struct election_fixture {
    base::instant now{std::chrono::hours(1)};
    dispatcher_election election{50, hall, small_share, base::instant()};

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

    void receive_from(ipv4_address address,
                      std::uint32_t cpu_millicores = small_share)
    {
        this->election.on_message(
            this->message_from(address, cpu_millicores, "hall"), this->now);
    }

    void receive_list_with(const known_entry& listed)
    {
        message sent = this->message_from(49, small_share, "hall");
        sent.known_entries = {listed};
        this->election.on_message(sent, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(election_fixture, "small_fleet_uses_no_dispatchers")
{
    for (ipv4_address address = 100; address < 124; ++address)
        this->receive_from(address);
    CHECK_FALSE(this->election.uses_dispatchers(this->now));
    for (ipv4_address address = 124; address < 140; ++address)
        this->receive_from(address);
    CHECK(this->election.uses_dispatchers(this->now));
}

// One entry more or less must not switch the whole fleet between a full mesh
// and dispatchers.
TEST_CASE_FIXTURE(election_fixture,
                  "fleet_size_near_threshold_keeps_dispatchers")
{
    for (ipv4_address address = 100; address < 132; ++address)
        this->receive_from(address);
    CHECK(this->election.uses_dispatchers(this->now));
    this->now += 29s;
    for (ipv4_address address = 100; address < 126; ++address)
        this->receive_from(address);
    this->now += 2s;
    CHECK(this->election.uses_dispatchers(this->now));
}

TEST_CASE_FIXTURE(election_fixture, "live_entry_with_most_cpu_elected")
{
    this->receive_from(60);
    CHECK_FALSE(this->election.dispatcher(this->now));
    this->receive_from(40);
    CHECK(this->election.dispatcher(this->now) == 40);
    this->receive_from(70, large_share);
    CHECK(this->election.dispatcher(this->now) == 70);
    this->election.on_message(this->message_from(30, large_share, "yard"),
                              this->now);
    CHECK(this->election.dispatcher(this->now) == 70);
}

// The dispatcher dies. Its members find the next one within half a second, and
// probe the candidates at once.
TEST_CASE_FIXTURE(election_fixture,
                  "silent_dispatcher_successor_probed_and_elected")
{
    this->receive_from(70, large_share);
    this->receive_list_with({71, 100ms, hall, large_share});
    CHECK_FALSE(has_address(this->election.probe_targets(this->now), 71));
    this->now += 400ms;
    CHECK_FALSE(this->election.dispatcher(this->now));
    CHECK(has_address(this->election.probe_targets(this->now), 71));
    this->receive_from(71, large_share);
    CHECK(this->election.dispatcher(this->now) == 71);
}

TEST_CASE_FIXTURE(election_fixture, "delegating_entry_not_elected")
{
    message sent = this->message_from(70, large_share, "hall");
    sent.delegating = true;
    this->election.on_message(sent, this->now);
    CHECK_FALSE(this->election.dispatcher(this->now));
    CHECK(has_address(this->election.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(election_fixture, "stopping_dispatcher_left_at_once")
{
    this->receive_from(70, large_share);
    message sent = this->message_from(70, large_share, "hall");
    sent.stopping = true;
    this->election.on_message(sent, this->now);
    CHECK_FALSE(this->election.dispatcher(this->now));
}

// A dead entry is listed by others for a while. An entry that waited for its
// answer without a timeout would never dispatch its own requests.
TEST_CASE_FIXTURE(election_fixture,
                  "unresponsive_entry_skipped_then_probed_again")
{
    this->receive_list_with({70, 100ms, hall, large_share});
    for (int count = 0; count < 6; ++count) {
        this->election.on_probe_sent(70, this->now);
        this->now += 100ms;
    }
    CHECK_FALSE(has_address(this->election.probe_targets(this->now), 70));
    this->now += 2500ms;
    CHECK(has_address(this->election.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(election_fixture, "lower_ranked_entries_not_probed_by_first")
{
    dispatcher_election first_ranked(1, hall, large_share, base::instant());
    first_ranked.on_message(this->message_from(60, small_share, "hall"),
                            this->now);
    this->now += 1s;
    CHECK(first_ranked.probe_targets(this->now).empty());
    CHECK(has_address(first_ranked.silent_in_data_centre(this->now), 60));
}

TEST_CASE_FIXTURE(election_fixture, "remote_candidates_probed_by_rank")
{
    this->receive_list_with({10, 100ms, yard, small_share});
    this->receive_list_with({11, 100ms, yard, large_share});
    this->receive_list_with({12, 100ms, yard, small_share});
    const auto first = this->election.remote_dispatcher_candidates(this->now);
    CHECK(has_address(first, 11));
    CHECK(has_address(first, 10));
    CHECK(this->election.never_heard_data_centre_count(this->now) == 1);
    this->election.on_message(this->message_from(11, large_share, "yard"),
                              this->now);
    CHECK(this->election.remote_dispatcher_candidates(this->now) ==
          std::vector<ipv4_address>{11});
    CHECK(this->election.never_heard_data_centre_count(this->now) == 0);
}

// The highest-ranked entries of another data centre leave a lower-ranked
// dispatcher in place, which entries elsewhere would never find.
TEST_CASE_FIXTURE(election_fixture,
                  "remote_dispatcher_below_delegating_entries_found")
{
    for (const ipv4_address address : {10U, 11U, 12U, 13U})
        this->receive_list_with(
            {address, 100ms, yard, address < 12 ? large_share : small_share});
    CHECK_FALSE(has_address(
        this->election.remote_dispatcher_candidates(this->now), 12));
    for (const ipv4_address address : {10U, 11U}) {
        message delegating_entry =
            this->message_from(address, large_share, "yard");
        delegating_entry.delegating = true;
        this->election.on_message(delegating_entry, this->now);
    }
    const auto next = this->election.remote_dispatcher_candidates(this->now);
    CHECK(has_address(next, 12));
    CHECK(has_address(next, 13));
    CHECK_FALSE(has_address(next, 10));
}

// All entries that rank first are behind a network partition. The first one
// that is not is found within half a second.
TEST_CASE_FIXTURE(election_fixture, "many_silent_candidates_probes_double")
{
    message sent = this->message_from(200, small_share, "yard");
    for (ipv4_address address = 10; address < 50; ++address)
        sent.known_entries.push_back({address, 100ms, hall, large_share});
    this->election.on_message(sent, this->now);
    std::set<ipv4_address> probed;
    for (const base::instant until = this->now + 500ms; this->now < until;
         this->now += 100ms) {
        for (const ipv4_address address :
             this->election.probe_targets(this->now)) {
            this->election.on_probe_sent(address, this->now);
            probed.insert(address);
        }
    }
    CHECK(probed.size() == 40);
    // During a long partition only a few are probed at a time.
    this->now += 5s;
    CHECK(this->election.probe_targets(this->now).size() <= 3);
}

// A dispatcher of another data centre becomes silent and another one there
// dispatches. Nothing is reserved for the first one any more.
TEST_CASE_FIXTURE(election_fixture,
                  "silent_remote_dispatcher_with_successor_replaced")
{
    this->election.on_message(this->message_from(11, large_share, "yard"),
                              this->now);
    CHECK_FALSE(this->election.is_replaced(11, this->now));
    this->now += 1s;
    CHECK_FALSE(this->election.is_replaced(11, this->now));
    this->election.on_message(this->message_from(12, small_share, "yard"),
                              this->now);
    CHECK(this->election.is_replaced(11, this->now));
}

// A dispatcher of another data centre stops in good order. It dispatches its
// remaining requests and still sends its load, so it counts beside its
// successor.
TEST_CASE_FIXTURE(election_fixture,
                  "stopping_remote_dispatcher_counts_until_silent")
{
    message stopping = this->message_from(11, large_share, "yard");
    stopping.stopping = true;
    this->election.on_message(stopping, this->now);
    this->election.on_message(this->message_from(12, small_share, "yard"),
                              this->now);
    CHECK_FALSE(this->election.is_replaced(11, this->now));
    this->now += 1s;
    this->election.on_message(this->message_from(12, small_share, "yard"),
                              this->now);
    CHECK(this->election.is_replaced(11, this->now));
}

// A rolling restart. The highest-ranked entry is back, and leaves its successor
// in place until it has run for ten seconds itself.
TEST_CASE_FIXTURE(election_fixture,
                  "restarted_entry_keeps_established_dispatcher")
{
    dispatcher_election first_ranked(1, hall, large_share, this->now);
    message active = this->message_from(70, small_share, "hall");
    active.uptime = 1min;
    active.dispatching = true;
    for (int second = 0; second < 9; ++second) {
        first_ranked.on_message(active, this->now);
        CHECK(first_ranked.dispatcher(this->now) == 70);
        this->now += 1s;
    }
    this->now += 1s;
    first_ranked.on_message(active, this->now);
    CHECK_FALSE(first_ranked.dispatcher(this->now));
}

// Of two entries with about the same processor share the one that dispatches
// stays.
TEST_CASE_FIXTURE(election_fixture, "dispatcher_of_same_cpu_share_stays")
{
    dispatcher_election next(1, hall, small_share, this->now);
    message active = this->message_from(70, small_share, "hall");
    active.uptime = 1min;
    active.dispatching = true;
    next.on_message(active, this->now);
    CHECK(next.dispatcher(this->now) == 70);
    this->now += 1min;
    next.on_message(active, this->now);
    CHECK(next.dispatcher(this->now) == 70);
    active.stopping = true;
    next.on_message(active, this->now);
    CHECK_FALSE(next.dispatcher(this->now));
}

// The dispatcher hears from a higher-ranked entry that has just started, and
// stays; its members keep it as well.
TEST_CASE_FIXTURE(election_fixture,
                  "dispatcher_ignores_higher_ranked_new_entry")
{
    this->now += 1min;
    this->election.set_dispatching(true);
    this->receive_from(70, large_share);
    CHECK_FALSE(this->election.dispatcher(this->now));
    this->now += 10s;
    message sent = this->message_from(70, large_share, "hall");
    sent.uptime = 10s;
    this->election.on_message(sent, this->now);
    CHECK(this->election.dispatcher(this->now) == 70);
}

TEST_CASE_FIXTURE(election_fixture, "members_ignore_higher_ranked_new_entry")
{
    message active = this->message_from(40, small_share, "hall");
    active.uptime = 1min;
    active.dispatching = true;
    this->election.on_message(active, this->now);
    CHECK(this->election.dispatcher(this->now) == 40);
    this->receive_from(70, large_share);
    CHECK(this->election.dispatcher(this->now) == 40);
    active.stopping = true;
    this->election.on_message(active, this->now);
    CHECK(this->election.dispatcher(this->now) == 70);
}

// After a start of the whole fleet no entry has run for long: the
// highest-ranked one dispatches.
TEST_CASE_FIXTURE(election_fixture, "new_entries_only_highest_ranked_elected")
{
    dispatcher_election first_ranked(1, hall, large_share, this->now);
    message active = this->message_from(70, small_share, "hall");
    active.uptime = 500ms;
    first_ranked.on_message(active, this->now);
    CHECK_FALSE(first_ranked.dispatcher(this->now));
}

// A high-ranked entry that said that it delegates to a dispatcher is not probed
// ten times a second by all others as long as they have a dispatcher.
TEST_CASE_FIXTURE(election_fixture, "delegating_entry_probed_rarely")
{
    this->receive_from(40, small_share);
    message sent = this->message_from(70, large_share, "hall");
    sent.delegating = true;
    this->election.on_message(sent, this->now);
    CHECK_FALSE(has_address(this->election.probe_targets(this->now), 70));
    this->now += 300ms;
    this->receive_from(40, small_share);
    CHECK_FALSE(has_address(this->election.probe_targets(this->now), 70));
    this->now += 2s;
    this->receive_from(40, small_share);
    CHECK(has_address(this->election.probe_targets(this->now), 70));
}

// A high-ranked entry announced its stop and has come back: others have heard
// from it since.
TEST_CASE_FIXTURE(election_fixture, "entry_listed_after_its_stop_probed_again")
{
    message sent = this->message_from(70, large_share, "hall");
    sent.stopping = true;
    this->election.on_message(sent, this->now);
    this->now += 3s;
    this->receive_list_with({70, 3s, hall, large_share});
    CHECK_FALSE(has_address(this->election.probe_targets(this->now), 70));
    this->receive_list_with({70, 200ms, hall, large_share});
    CHECK(has_address(this->election.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(election_fixture, "stopping_entry_not_listed")
{
    message sent = this->message_from(70, large_share, "hall");
    sent.stopping = true;
    this->election.on_message(sent, this->now);
    for (const known_entry& listed :
         this->election.select_known_entries(hall, this->now))
        CHECK(listed.address != 70);
}

// A dispatcher keeps two standby entries: those that would be elected.
TEST_CASE_FIXTURE(election_fixture, "standby_entries_are_highest_ranked_live")
{
    this->receive_from(60);
    this->receive_from(61);
    this->receive_list_with({62, 100ms, hall, large_share});
    this->receive_from(63, large_share);
    message stopping = this->message_from(64, large_share, "hall");
    stopping.stopping = true;
    this->election.on_message(stopping, this->now);
    CHECK(this->election.standby_entries(this->now) ==
          std::vector<ipv4_address>{63, 49});
}

// An entry that has just started must learn of the dispatcher of its data
// centre, whichever entry it asks.
TEST_CASE_FIXTURE(election_fixture,
                  "highest_ranked_of_data_centre_always_listed")
{
    for (ipv4_address address = 100; address < 300; ++address)
        this->receive_from(address);
    this->receive_list_with({11, 100ms, yard, large_share});
    for (int count = 0; count < 40; ++count) {
        const auto listed =
            this->election.select_known_entries(yard, this->now);
        CHECK(listed.size() <= 10);
        CHECK(listed.at(0).address == 11);
    }
}

} // namespace greengagedrum::gossip
