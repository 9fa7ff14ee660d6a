// Which entry of each data centre places requests, as one entry sees it.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t weak = 120;
constexpr std::uint32_t strong = 500;
const base::data_centre_id hall("hall");
const base::data_centre_id yard("yard");

bool contains(const std::vector<ipv4_address>& list, ipv4_address address)
{
    return std::find(list.begin(), list.end(), address) != list.end();
}

struct succession_fixture {
    base::instant now{std::chrono::hours(1)};
    dispatcher_election own{50, hall, weak, base::instant()};

    message
    from(ipv4_address address, std::uint32_t strength, const char* place)
    {
        message out;
        out.address = address;
        out.cpu_millicores = strength;
        out.data_centre = place;
        return out;
    }

    void hear(ipv4_address address, std::uint32_t strength = weak)
    {
        this->own.on_message(this->from(address, strength, "hall"), this->now);
    }

    void name(const known_entry& one)
    {
        message told = this->from(49, weak, "hall");
        told.known_entries = {one};
        this->own.on_message(told, this->now);
    }
};

} // namespace

TEST_CASE_FIXTURE(succession_fixture,
                  "few_entries_have_no_need_of_a_dispatcher")
{
    for (ipv4_address one = 100; one < 124; ++one)
        this->hear(one);
    CHECK_FALSE(this->own.uses_dispatchers(this->now));
    for (ipv4_address one = 124; one < 140; ++one)
        this->hear(one);
    CHECK(this->own.uses_dispatchers(this->now));
}

// An entry more or less must not turn the whole fleet's way of placing round.
TEST_CASE_FIXTURE(succession_fixture, "fleet_at_the_bound_keeps_its_way")
{
    for (ipv4_address one = 100; one < 132; ++one)
        this->hear(one);
    CHECK(this->own.uses_dispatchers(this->now));
    this->now += 29s;
    for (ipv4_address one = 100; one < 126; ++one)
        this->hear(one);
    this->now += 2s;
    CHECK(this->own.uses_dispatchers(this->now));
}

TEST_CASE_FIXTURE(succession_fixture, "strongest_entry_that_is_heard_places")
{
    this->hear(60);
    CHECK_FALSE(this->own.dispatcher(this->now));
    this->hear(40);
    CHECK(this->own.dispatcher(this->now) == 40);
    this->hear(70, strong);
    CHECK(this->own.dispatcher(this->now) == 70);
    this->own.on_message(this->from(30, strong, "yard"), this->now);
    CHECK(this->own.dispatcher(this->now) == 70);
}

// The dispatcher dies. Its members find the next one within half a second, and
// ask those that may be it at once.
TEST_CASE_FIXTURE(succession_fixture, "silent_dispatcher_is_replaced")
{
    this->hear(70, strong);
    this->name({71, 100ms, hall, strong});
    CHECK_FALSE(contains(this->own.probe_targets(this->now), 71));
    this->now += 400ms;
    CHECK_FALSE(this->own.dispatcher(this->now));
    CHECK(contains(this->own.probe_targets(this->now), 71));
    this->hear(71, strong);
    CHECK(this->own.dispatcher(this->now) == 71);
}

TEST_CASE_FIXTURE(succession_fixture, "entry_that_delegates_does_not_place")
{
    message told = this->from(70, strong, "hall");
    told.delegating = true;
    this->own.on_message(told, this->now);
    CHECK_FALSE(this->own.dispatcher(this->now));
    CHECK(contains(this->own.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(succession_fixture, "dispatcher_that_stops_is_left_at_once")
{
    this->hear(70, strong);
    message told = this->from(70, strong, "hall");
    told.stopping = true;
    this->own.on_message(told, this->now);
    CHECK_FALSE(this->own.dispatcher(this->now));
}

// A dead entry is named by others for a while. Whoever waited for its answer
// for ever would never place by itself.
TEST_CASE_FIXTURE(succession_fixture, "entry_that_never_answers_is_passed_over")
{
    this->name({70, 100ms, hall, strong});
    for (int count = 0; count < 6; ++count) {
        this->own.on_probe_sent(70, this->now);
        this->now += 100ms;
    }
    CHECK_FALSE(contains(this->own.probe_targets(this->now), 70));
    this->now += 2500ms;
    CHECK(contains(this->own.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(succession_fixture,
                  "weaker_entries_are_not_asked_by_the_strongest")
{
    dispatcher_election best(1, hall, strong, base::instant());
    best.on_message(this->from(60, weak, "hall"), this->now);
    this->now += 1s;
    CHECK(best.probe_targets(this->now).empty());
    CHECK(contains(best.silent_in_data_centre(this->now), 60));
}

TEST_CASE_FIXTURE(succession_fixture, "other_data_centres_are_told_by_rank")
{
    this->name({10, 100ms, yard, weak});
    this->name({11, 100ms, yard, strong});
    this->name({12, 100ms, yard, weak});
    const auto first = this->own.remote_dispatcher_candidates(this->now);
    CHECK(contains(first, 11));
    CHECK(contains(first, 10));
    CHECK(this->own.never_heard_data_centre_count(this->now) == 1);
    this->own.on_message(this->from(11, strong, "yard"), this->now);
    CHECK(this->own.remote_dispatcher_candidates(this->now) ==
          std::vector<ipv4_address>{11});
    CHECK(this->own.never_heard_data_centre_count(this->now) == 0);
}

// The strongest of another data centre leave a weaker one in place, which
// nobody elsewhere ever finds.
TEST_CASE_FIXTURE(succession_fixture,
                  "dispatcher_behind_those_that_decline_found")
{
    for (const ipv4_address address : {10U, 11U, 12U, 13U})
        this->name({address, 100ms, yard, address < 12 ? strong : weak});
    CHECK_FALSE(
        contains(this->own.remote_dispatcher_candidates(this->now), 12));
    for (const ipv4_address address : {10U, 11U}) {
        message declining = this->from(address, strong, "yard");
        declining.delegating = true;
        this->own.on_message(declining, this->now);
    }
    const auto next = this->own.remote_dispatcher_candidates(this->now);
    CHECK(contains(next, 12));
    CHECK(contains(next, 13));
    CHECK_FALSE(contains(next, 10));
}

// All that go first in line are behind a cut: the first that is not is found
// within half a second.
TEST_CASE_FIXTURE(succession_fixture, "many_first_in_line_silent_next_is_found")
{
    message told = this->from(200, weak, "yard");
    for (ipv4_address address = 10; address < 50; ++address)
        told.known_entries.push_back({address, 100ms, hall, strong});
    this->own.on_message(told, this->now);
    std::set<ipv4_address> asked;
    for (const base::instant until = this->now + 500ms; this->now < until;
         this->now += 100ms) {
        for (const ipv4_address address : this->own.probe_targets(this->now)) {
            this->own.on_probe_sent(address, this->now);
            asked.insert(address);
        }
    }
    CHECK(asked.size() == 40);
    // Not for ever: those behind a long cut are asked a few at a time.
    this->now += 5s;
    CHECK(this->own.probe_targets(this->now).size() <= 3);
}

// A dispatcher elsewhere falls silent and another one of its data centre
// places: nothing is kept for the first any more.
TEST_CASE_FIXTURE(succession_fixture,
                  "silent_dispatcher_with_a_successor_is_replaced")
{
    this->own.on_message(this->from(11, strong, "yard"), this->now);
    CHECK_FALSE(this->own.is_replaced(11, this->now));
    this->now += 1s;
    CHECK_FALSE(this->own.is_replaced(11, this->now));
    this->own.on_message(this->from(12, weak, "yard"), this->now);
    CHECK(this->own.is_replaced(11, this->now));
}

// A dispatcher elsewhere stops as planned. It places what it has to the end and
// goes on telling of it, so it counts beside the one that takes over.
TEST_CASE_FIXTURE(succession_fixture, "stopping_dispatcher_counts_until_silent")
{
    message stopping = this->from(11, strong, "yard");
    stopping.stopping = true;
    this->own.on_message(stopping, this->now);
    this->own.on_message(this->from(12, weak, "yard"), this->now);
    CHECK_FALSE(this->own.is_replaced(11, this->now));
    this->now += 1s;
    this->own.on_message(this->from(12, weak, "yard"), this->now);
    CHECK(this->own.is_replaced(11, this->now));
}

// Entries are restarted in turn. The strongest is back, and leaves the one that
// had followed it in place until it has lived for ten seconds itself.
TEST_CASE_FIXTURE(succession_fixture,
                  "young_entry_leaves_a_dispatcher_in_place")
{
    dispatcher_election best(1, hall, strong, this->now);
    message placing = this->from(70, weak, "hall");
    placing.uptime = 1min;
    placing.dispatching = true;
    for (int second = 0; second < 9; ++second) {
        best.on_message(placing, this->now);
        CHECK(best.dispatcher(this->now) == 70);
        this->now += 1s;
    }
    this->now += 1s;
    best.on_message(placing, this->now);
    CHECK_FALSE(best.dispatcher(this->now));
}

// Of two that are about as strong the one that places goes on.
TEST_CASE_FIXTURE(succession_fixture, "dispatcher_as_strong_stays_for_good")
{
    dispatcher_election next(1, hall, weak, this->now);
    message placing = this->from(70, weak, "hall");
    placing.uptime = 1min;
    placing.dispatching = true;
    next.on_message(placing, this->now);
    CHECK(next.dispatcher(this->now) == 70);
    this->now += 1min;
    next.on_message(placing, this->now);
    CHECK(next.dispatcher(this->now) == 70);
    placing.stopping = true;
    next.on_message(placing, this->now);
    CHECK_FALSE(next.dispatcher(this->now));
}

// The dispatcher hears of a stronger entry that has just started, and goes on;
// so do its members.
TEST_CASE_FIXTURE(succession_fixture, "dispatcher_leaves_a_young_entry_aside")
{
    this->now += 1min;
    this->own.set_dispatching(true);
    this->hear(70, strong);
    CHECK_FALSE(this->own.dispatcher(this->now));
    this->now += 10s;
    message told = this->from(70, strong, "hall");
    told.uptime = 10s;
    this->own.on_message(told, this->now);
    CHECK(this->own.dispatcher(this->now) == 70);
}

TEST_CASE_FIXTURE(succession_fixture, "members_leave_a_young_entry_aside")
{
    message placing = this->from(40, weak, "hall");
    placing.uptime = 1min;
    placing.dispatching = true;
    this->own.on_message(placing, this->now);
    CHECK(this->own.dispatcher(this->now) == 40);
    this->hear(70, strong);
    CHECK(this->own.dispatcher(this->now) == 40);
    placing.stopping = true;
    this->own.on_message(placing, this->now);
    CHECK(this->own.dispatcher(this->now) == 70);
}

// After a start of all entries nobody has lived for long: the strongest places.
TEST_CASE_FIXTURE(succession_fixture, "strongest_places_among_young_entries")
{
    dispatcher_election best(1, hall, strong, this->now);
    message placing = this->from(70, weak, "hall");
    placing.uptime = 500ms;
    best.on_message(placing, this->now);
    CHECK_FALSE(best.dispatcher(this->now));
}

// A strong entry that said that another one places for it is not asked ten
// times a second by all others, as long as they have a dispatcher.
TEST_CASE_FIXTURE(succession_fixture, "entry_that_delegates_is_asked_seldom")
{
    this->hear(40, weak);
    message told = this->from(70, strong, "hall");
    told.delegating = true;
    this->own.on_message(told, this->now);
    CHECK_FALSE(contains(this->own.probe_targets(this->now), 70));
    this->now += 300ms;
    this->hear(40, weak);
    CHECK_FALSE(contains(this->own.probe_targets(this->now), 70));
    this->now += 2s;
    this->hear(40, weak);
    CHECK(contains(this->own.probe_targets(this->now), 70));
}

// A strong entry said that it stops, and is back: others have heard it since.
TEST_CASE_FIXTURE(succession_fixture, "entry_named_after_its_stop_may_place")
{
    message told = this->from(70, strong, "hall");
    told.stopping = true;
    this->own.on_message(told, this->now);
    this->now += 3s;
    this->name({70, 3s, hall, strong});
    CHECK_FALSE(contains(this->own.probe_targets(this->now), 70));
    this->name({70, 200ms, hall, strong});
    CHECK(contains(this->own.probe_targets(this->now), 70));
}

TEST_CASE_FIXTURE(succession_fixture, "entry_that_stops_is_not_named")
{
    message told = this->from(70, strong, "hall");
    told.stopping = true;
    this->own.on_message(told, this->now);
    for (const known_entry& one :
         this->own.select_known_entries(hall, this->now))
        CHECK(one.address != 70);
}

// A dispatcher keeps two entries ready to take over: those that would be
// chosen.
TEST_CASE_FIXTURE(succession_fixture,
                  "strongest_heard_entries_are_next_in_line")
{
    this->hear(60);
    this->hear(61);
    this->name({62, 100ms, hall, strong});
    this->hear(63, strong);
    message stopping = this->from(64, strong, "hall");
    stopping.stopping = true;
    this->own.on_message(stopping, this->now);
    CHECK(this->own.standby_entries(this->now) ==
          std::vector<ipv4_address>{63, 49});
}

// An entry that has just started must hear who places where it is, whoever it
// asks.
TEST_CASE_FIXTURE(succession_fixture, "strongest_of_a_place_is_always_named")
{
    for (ipv4_address one = 100; one < 300; ++one)
        this->hear(one);
    this->name({11, 100ms, yard, strong});
    for (int count = 0; count < 40; ++count) {
        const auto named = this->own.select_known_entries(yard, this->now);
        CHECK(named.size() <= 10);
        CHECK(named.at(0).address == 11);
    }
}

} // namespace greengagedrum::gossip
