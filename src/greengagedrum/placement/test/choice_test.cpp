// Where requests go: stale reports, peers, prefixes, leaving upstreams.
#include <greengagedrum/placement/test/fleet_fixture.hpp>

#include <set>

namespace greengagedrum::placement
{

namespace
{

using namespace std::chrono_literals;

load_report report(int number,
                   base::duration age,
                   std::uint32_t running = 0,
                   std::uint64_t prefill = 0)
{
    load_report out;
    out.upstream = fleet_fixture::name(number);
    out.age = age;
    out.running = running;
    out.prefill_tokens = prefill;
    return out;
}

capacity::upstream_usage
use(int number, std::uint32_t requests, std::uint32_t tokens)
{
    return {fleet_fixture::name(number), requests, tokens, false};
}

} // namespace

// An engine reports itself empty, but counted before our 40,000 tokens
// reached it. Believed, it would draw all that follows onto one engine.
TEST_CASE_FIXTURE(fleet_fixture, "stale_empty_report_not_believed")
{
    this->engines(2);
    this->now += 1s;
    this->send(name(0), work(40'000));
    this->now += 100ms;
    this->tested.reported(report(0, 400ms), this->now);
    this->tested.reported(report(1, 400ms), this->now);
    const auto spread = this->spread(6, fleet_fixture::work(400));
    CHECK_FALSE(spread.contains(name(0)));
}

// Six requests of others run there when the engine counts, then four of ours
// arrive, then its report: the six are still six, not two.
TEST_CASE_FIXTURE(fleet_fixture, "report_before_own_sends_foreign_not_hidden")
{
    this->engines(1, 100);
    this->send(name(0), work());
    this->now += 1s;
    for (int count = 0; count < 4; ++count)
        this->send(name(0), work());
    this->now += 100ms;
    this->tested.reported(report(0, 500ms, 7), this->now);
    const foreign_load& foreign = this->tested.find(name(0))->foreign;
    CHECK(foreign.requests(this->now) > 5);
    CHECK(foreign.requests(this->now) <= 6);
}

// Others keep an engine busy that we sent nothing to: its report says so, and
// loses its weight with age.
TEST_CASE_FIXTURE(fleet_fixture, "report_of_foreign_work_heeded_until_old")
{
    this->engines(2, 100);
    this->tested.reported(report(0, 100ms, 6, 40'000), this->now);
    CHECK(this->tested.choose(work(400), {}, this->now)->upstream == name(1));
    const foreign_load& foreign = this->tested.find(name(0))->foreign;
    CHECK(foreign.requests(this->now) > 5.8);
    this->now += 2s;
    CHECK(foreign.requests(this->now) < 4);
    this->now += 4s;
    CHECK(foreign.requests(this->now) == 0);
    CHECK(foreign.backlog(this->now) == 0);
}

// A peer tells what it sent, then dies: its work on the engines is counted,
// and forgotten with it.
TEST_CASE_FIXTURE(fleet_fixture, "peer_use_counted_forgotten_on_loss")
{
    this->engines(2, 100);
    const base::slot_id peer("zona-4-b");
    const std::vector uses = {use(0, 7, 80'000)};
    this->tested.peer_use(peer, uses, this->now);
    CHECK(this->tested.choose(fleet_fixture::work(400), {}, this->now)
              ->upstream == name(1));
    CHECK(this->tested.find(name(0))->foreign.requests(this->now) == 7);
    this->tested.peer_lost(peer);
    CHECK(this->tested.find(name(0))->foreign.requests(this->now) == 0);
}

// A peer's link hangs: nobody says that it is lost, and nothing more comes.
TEST_CASE_FIXTURE(fleet_fixture, "peer_not_heard_use_forgotten")
{
    this->engines(2, 100);
    const base::slot_id peer("zona-4-b");
    const std::vector uses = {use(0, 7, 80'000)};
    this->tested.peer_use(peer, uses, this->now);
    this->now += 8s;
    this->tested.peer_heard(peer, this->now);
    this->now += 8s;
    this->tested.choose(work(), {}, this->now);
    CHECK(this->tested.find(name(0))->foreign.requests(this->now) == 7);
    this->now += 8s;
    this->tested.choose(work(), {}, this->now);
    CHECK(this->tested.find(name(0))->foreign.requests(this->now) == 0);
}

// A fleet document without the engine is published by mistake and taken back
// while our streams run there. Its places must not seem free, nor the ends of
// those streams be counted against a fresh state.
TEST_CASE_FIXTURE(fleet_fixture, "engine_unpublished_and_back_places_kept")
{
    this->engines(1, 2);
    const auto first = this->send(name(0), work());
    this->send(name(0), work());
    this->tested.set_fleet({});
    CHECK_FALSE(this->tested.servable(work()));
    this->tested.set_fleet(this->fleet);
    this->tested.set_listed(listing({"photo-0"}));
    CHECK_FALSE(this->tested.choose(work(), {}, this->now));
    this->tested.ended(first, this->now);
    CHECK(this->place(work()) == name(0));
    CHECK_FALSE(this->place(work()));
}

// Nine entries read one report in which one engine of ten has a little less to
// do, and each has one request at that moment. All nine on the one engine
// would make its last caller wait for eight others.
TEST_CASE("nine_entries_one_stale_report_no_herd")
{
    std::map<base::upstream_id, int> chosen;
    for (int entry = 0; entry < 9; ++entry) {
        fleet_fixture one("entry-" + std::to_string(entry));
        one.engines(10);
        for (int number = 0; number < 10; ++number)
            one.tested.reported(report(number, 300ms, number == 3 ? 1 : 3),
                                one.now);
        chosen[one.place(fleet_fixture::work(400)).value()] += 1;
    }
    CHECK(chosen.size() >= 4);
    for (const auto& [engine, count] : chosen)
        CHECK(count <= 4);
}

// One engine is really far less busy. Each of nine entries has five requests
// before anyone tells the others anything: not all 45 may go there.
TEST_CASE("nine_entries_one_idle_engine_not_overrun")
{
    int overrun = 0;
    for (int entry = 0; entry < 9; ++entry) {
        fleet_fixture one("entry-" + std::to_string(entry));
        one.engines(10, 100);
        for (int peer = 0; peer < 8; ++peer)
            one.tested.peer_use(
                base::slot_id("peer-" + std::to_string(peer)), {}, one.now);
        for (int number = 0; number < 10; ++number)
            one.tested.reported(report(number, 300ms, 2, number ? 12'000 : 0),
                                one.now);
        overrun +=
            one.spread(5, fleet_fixture::work(800, 20))[fleet_fixture::name(0)];
    }
    CHECK(overrun >= 9);
    CHECK(overrun <= 27);
}

// A booth's system prompt of 2,000 tokens comes with every photo. A few keep
// to one engine, whose cache spares their prefill; a flood must not.
TEST_CASE_FIXTURE(fleet_fixture, "hot_prefix_kept_together_then_spreads")
{
    this->engines(10);
    const base::request_spec photo = work(2000, 20, 0xabcdef);
    std::set<base::upstream_id> homes;
    for (int number = 0; number < 10; ++number) {
        const auto to = this->tested.choose(photo, {}, this->now)->upstream;
        homes.insert(to);
        const auto id = this->send(to, photo);
        this->now += 300ms;
        this->tested.progressed(id, 1, this->now);
        this->decode(id, 1, 20, 20ms);
        this->tested.finished(id, 20, number == 0 ? 0 : 1900);
        this->tested.ended(id, this->now);
    }
    CHECK(homes.size() == 1);
    const auto few = this->spread(4, photo);
    const auto more = this->spread(40, photo);
    CHECK(few.size() <= 2);
    CHECK(more.size() >= 5);
    CHECK(more.size() > few.size());
}

// Every instance sends a prefix that is new to all of them to the same engine.
TEST_CASE("new_prefix_same_engine_at_every_instance")
{
    std::set<base::upstream_id> homes;
    for (int entry = 0; entry < 9; ++entry) {
        fleet_fixture one("entry-" + std::to_string(entry));
        one.engines(10);
        homes.insert(one.place(fleet_fixture::work(2000, 20, 77)).value());
    }
    CHECK(homes.size() == 1);
}

// An engine told us of a prefix, then lost events, then restarted with an
// empty cache: the hint must lose half, then all of its weight.
TEST_CASE("cache_hint_gap_halved_restart_dropped")
{
    affinity hints;
    affinity::credits found;
    const base::upstream_id engine("photo-0");
    const base::instant now{std::chrono::seconds(10)};
    hints.changed({engine, 5, 1, true}, now);
    REQUIRE(hints.find(1, now, found));
    const double fresh = found[0].tokens;
    hints.changed({engine, 8, 2, true}, now + 1s);
    REQUIRE(hints.find(1, now + 1s, found));
    CHECK(found[0].tokens < 0.6 * fresh);
    CHECK(found[0].tokens > 0.4 * fresh);
    hints.changed({engine, 1, 3, true}, now + 2s);
    hints.find(1, now + 2s, found);
    CHECK(found[0].tokens == 0);
    hints.changed({engine, 2, 3, false}, now + 3s);
    CHECK_FALSE(hints.find(3, now + 3s, found));
}

// An engine is to be replaced and listed leaving; another is gone from the
// list. Work sent there now would be cut or refused.
TEST_CASE_FIXTURE(fleet_fixture, "leaving_or_unlisted_upstream_gets_nothing")
{
    this->engines(3, 100);
    auto lines = listing({"photo-0"});
    const auto leaving =
        listing({"photo-1"}, membership::listed_state::leaving);
    lines.push_back(leaving.front());
    this->tested.set_listed(lines);
    const auto spread = this->spread(50, work());
    CHECK(spread.size() == 1);
    CHECK(spread.contains(name(0)));
}

// An engine was told to hold another model: it would refuse ours.
TEST_CASE_FIXTURE(fleet_fixture, "model_not_held_not_chosen")
{
    this->engines(2, 100);
    load_report other = report(0, 0s);
    other.models = {base::model_id("gallery")};
    this->tested.reported(other, this->now);
    CHECK_FALSE(this->spread(20, work()).contains(name(0)));
    base::request_spec gallery = work();
    gallery.model = base::model_id("gallery");
    CHECK(this->tested.servable(gallery));
    this->tested.set_listed(listing({"photo-1"}));
    CHECK_FALSE(this->tested.servable(gallery));
}

// Two generations serve one class; the old one has a fifth of the speed. An
// urgent ping goes to the new ones while they have room.
TEST_CASE_FIXTURE(fleet_fixture, "unlike_engines_faster_first")
{
    this->engines(4);
    for (int number = 0; number < 2; ++number) {
        auto& old = this->fleet.upstreams[static_cast<std::size_t>(number)];
        old = engine("old-" + std::to_string(number), 8);
        old.generation = "g1";
        old.prefill_tokens_per_second = 1600;
        old.decode_tokens_per_second = 10;
    }
    this->tested.set_fleet(this->fleet);
    this->tested.set_listed(listing({"old-0", "old-1", "photo-2", "photo-3"}));
    const auto spread = this->spread(16, work());
    CHECK(spread.size() == 2);
    CHECK(this->place(work()));
    CHECK(this->tested.find(base::upstream_id("old-0"))->in_flight +
              this->tested.find(base::upstream_id("old-1"))->in_flight ==
          1);
}

// Answers of a kind are a tenth of what may be generated at most.
TEST_CASE_FIXTURE(fleet_fixture, "output_length_learnt_from_answers")
{
    this->engines(1);
    const auto before = this->tested.choose(work(100, 1000), {}, this->now);
    for (int round = 0; round < 5; ++round)
        this->serve(name(0), 1, 100);
    const auto after = this->tested.choose(work(100, 1000), {}, this->now);
    CHECK(after->finish < before->finish / 3);
}

// The baselines do what a plain proxy does.
TEST_CASE("baselines_choose_as_named")
{
    const auto made = [](policy_choice policy) {
        fleet_fixture out("zona-4-a", policy);
        out.engines(3, 1);
        return out;
    };
    auto turns = made(policy_choice::round_robin);
    for (const auto& [engine, count] : turns.spread(30, fleet_fixture::work()))
        CHECK(count == 10);
    auto reported = made(policy_choice::least_reported);
    reported.tested.reported(report(0, 0s, 4), reported.now);
    reported.tested.reported(report(2, 0s, 4), reported.now);
    CHECK(reported.spread(30, fleet_fixture::work()).size() == 1);
    auto outstanding = made(policy_choice::least_outstanding);
    outstanding.send(fleet_fixture::name(0), fleet_fixture::work());
    const auto even = outstanding.spread(2, fleet_fixture::work());
    CHECK_FALSE(even.contains(fleet_fixture::name(0)));
    CHECK(even.size() == 2);
}

} // namespace greengagedrum::placement
