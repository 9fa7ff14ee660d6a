// Engines that slow down, go silent or refuse, and come back.
#include <greengagedrum/placement/test/fleet_fixture.hpp>

namespace greengagedrum::placement
{

namespace
{

using namespace std::chrono_literals;

bool suspected(const fleet_fixture& fleet, int number)
{
    return fleet.tested.find(fleet_fixture::name(number))->suspected(fleet.now);
}

} // namespace

// One engine's fan fails and it decodes ten times slower, without a word in
// its reports. Callers sent there wait ten times longer, until it shows in
// completed requests, minutes later. It must show within a few tokens.
TEST_CASE_FIXTURE(fleet_fixture, "engine_slows_tenfold_found_in_five_tokens")
{
    this->engines(4);
    for (int round = 0; round < 8; ++round)
        for (int number = 0; number < 4; ++number)
            this->serve(name(number));
    const auto id = this->send(name(2), work(800, 200));
    this->now += 100ms;
    this->tested.progressed(id, 1, this->now);
    this->decode(id, 1, 20, 20ms);
    REQUIRE_FALSE(suspected(*this, 2));
    this->decode(id, 20, 25, 200ms);
    CHECK(suspected(*this, 2));
    CHECK_FALSE(this->spread(10, work()).contains(name(2)));
}

// The same at a new engine that never ran well: its first tokens tell.
TEST_CASE_FIXTURE(fleet_fixture, "engine_slow_from_start_found_in_six_tokens")
{
    this->engines(4);
    const auto id = this->send(name(0), work(800, 200));
    this->now += 100ms;
    this->tested.progressed(id, 1, this->now);
    this->decode(id, 1, 7, 200ms);
    CHECK(suspected(*this, 0));
}

// One engine's document states a tenth of its like's speed, a slip of the pen,
// and it is as slow as that: it keeps to its word, but its like show that
// something is wrong with it.
TEST_CASE_FIXTURE(fleet_fixture, "engine_slower_than_its_generation_found")
{
    this->engines(4);
    this->fleet.upstreams[0].decode_tokens_per_second = 5;
    this->tested = planner(base::data_centre_id("zona-4"));
    this->tested.set_fleet(this->fleet);
    this->tested.set_listed(
        listing({"photo-0", "photo-1", "photo-2", "photo-3"}));
    for (int number = 1; number < 4; ++number)
        this->serve(name(number));
    this->tested.choose(work(), {}, this->now);
    this->serve(name(0), 10, 20);
    CHECK(suspected(*this, 0));
}

// An engine takes a prompt and says nothing more. Until its silence is called
// a failure, more prompts would queue up behind it.
TEST_CASE_FIXTURE(fleet_fixture, "first_token_overdue_no_more_sent_there")
{
    this->engines(2, 100);
    const auto chosen_there = [this] {
        int count = 0;
        for (int number = 0; number < 20; ++number)
            count +=
                this->tested.choose(work(), {}, this->now)->upstream == name(0);
        return count;
    };
    const auto stuck = this->send(name(0), work(800));
    this->now += 1s;
    CHECK(chosen_there() > 0);
    this->now += 1s;
    CHECK(chosen_there() == 0);
    this->tested.progressed(stuck, 1, this->now);
    CHECK(chosen_there() > 0);
}

// A batch that fills up slows every stream; that is no fault of the engine.
TEST_CASE_FIXTURE(fleet_fixture, "engine_one_long_gap_not_suspected")
{
    this->engines(2);
    this->serve(name(0));
    const auto id = this->send(name(0), work(800, 200));
    this->now += 100ms;
    this->tested.progressed(id, 1, this->now);
    this->decode(id, 1, 20, 20ms);
    this->decode(id, 20, 21, 400ms);
    CHECK_FALSE(suspected(*this, 0));
    this->decode(id, 21, 40, 25ms);
    CHECK_FALSE(suspected(*this, 0));
}

// The slow engine is mended. Without probes nobody would ever learn of it;
// with too many, callers pay for it while it is slow.
TEST_CASE_FIXTURE(fleet_fixture, "slow_engine_mended_comes_back_by_probes")
{
    this->engines(3);
    for (int number = 0; number < 3; ++number)
        this->serve(name(number));
    this->serve(name(1), 10);
    REQUIRE(suspected(*this, 1));
    int probes = 0;
    const base::instant mended = this->now + 60s;
    const base::instant limit = mended + 120s;
    while (suspected(*this, 1) && this->now < limit) {
        this->now += 100ms;
        const auto chosen = this->tested.choose(work(), {}, this->now);
        REQUIRE(chosen);
        if (chosen->upstream != name(1))
            continue;
        probes += 1;
        this->serve(name(1), this->now < mended ? 10 : 1);
    }
    CHECK_FALSE(suspected(*this, 1));
    CHECK(probes >= 2);
    CHECK(probes <= 10);
    CHECK(this->spread(12, work()).contains(name(1)));
}

// Only dossiers come in, which may run once: none may be spent as a probe on
// an engine that went silent, but it must not be lost for ever either.
TEST_CASE_FIXTURE(fleet_fixture, "silent_engine_no_at_most_once_probe")
{
    this->engines(2, 100);
    base::request_spec dossier = work();
    dossier.repetition = base::repetition::at_most_once;
    this->tested.silent(name(0), this->now);
    for (int second = 0; second < 80; ++second) {
        this->now += 1s;
        const auto chosen = this->tested.choose(dossier, {}, this->now);
        REQUIRE(chosen->upstream == name(1));
    }
    this->now += 20s;
    CHECK(this->spread(20, dossier).contains(name(0)));
}

// An engine restarts and refuses connects for some seconds. A refused connect
// costs a caller a backoff, so few may meet it; an urgent one none soon.
TEST_CASE_FIXTURE(fleet_fixture, "refusing_engine_tried_at_rising_intervals")
{
    this->engines(2, 1000);
    std::vector<base::duration> intervals;
    this->tested.refused(name(0), this->now);
    base::instant last = this->now;
    for (int step = 0; step < 600; ++step) {
        this->now += 100ms;
        const auto chosen = this->tested.choose(work(), {}, this->now);
        if (chosen->upstream != name(0))
            continue;
        intervals.push_back(this->now - last);
        last = this->now;
        const auto id = this->send(name(0), work());
        this->tested.refused(name(0), this->now);
        this->tested.ended(id, this->now);
    }
    REQUIRE(intervals.size() >= 4);
    CHECK(intervals.size() <= 8);
    CHECK(intervals[0] >= 500ms);
    CHECK(intervals[3] >= 3 * intervals[1]);
}

// Every engine of the class is slow: a slow answer beats none.
TEST_CASE_FIXTURE(fleet_fixture, "all_engines_suspected_still_served")
{
    this->engines(2);
    this->tested.silent(name(0), this->now);
    this->tested.silent(name(1), this->now);
    base::request_spec dossier = work();
    dossier.repetition = base::repetition::at_most_once;
    CHECK(this->place(dossier));
}

// A prompt of 100,000 tokens takes 12 s to prefill behind another like it.
// Taken for silence, its connection would be broken and read anew again and
// again, or the prompt run a second time.
TEST_CASE_FIXTURE(fleet_fixture, "long_prefill_not_taken_for_silence")
{
    this->engines(1);
    this->send(name(0), work(100'000));
    const auto second = this->send(name(0), work(100'000));
    CHECK(this->tested.patience(second, this->now) > 25s);
    this->now += 25s;
    CHECK_FALSE(suspected(*this, 0));
    this->tested.progressed(second, 1, this->now);
    CHECK(this->tested.patience(second, this->now) < 5s);
    CHECK(this->tested.patience(second, this->now) >= 2s);
}

// An engine that prefills eight times slower than its document says is given
// the time it really takes.
TEST_CASE_FIXTURE(fleet_fixture, "slow_prefill_learnt_patience_grows")
{
    this->engines(1);
    const auto before =
        this->tested.patience(this->send(name(0), work(8000)), this->now);
    this->now += 8s;
    this->tested.progressed({{1}, this->last_dispatch}, 1, this->now);
    const auto after =
        this->tested.patience(this->send(name(0), work(8000)), this->now);
    CHECK(after > 3 * before);
}

} // namespace greengagedrum::placement
