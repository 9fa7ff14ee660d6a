// A recording replays to the same actions; a stalled reader costs nothing but
// the recording.
#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/replay.hpp>
#include <greengagedrum/trace/test/random_recording.hpp>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <random>

namespace greengagedrum::trace
{

namespace
{

// Reads back what was written of each, so that no member is lost on the way.
template <class Value, class Reader>
void check_same(const Value& value, Reader reader)
{
    const nlohmann::json first = to_json(value);
    const auto back = reader(first);
    if (!back)
        FAIL(first.dump() << ": " << back.error());
    CHECK(to_json(*back) == first);
}

} // namespace

// A recording of a busy daemon replayed another way: the load told to the peers
// was composed beside the steps, which changes what the next digest and the
// shares say, and no line of the trace told of it.
TEST_CASE("random_run_recorded_replays_alike")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        collecting_pipe pipe;
        std::size_t actions = 0;
        {
            recorder log(pipe.target(), random_run::made(seed));
            random_run run(seed, log);
            run.run(2000);
            actions = run.actions_seen;
            CHECK(run.loads_told > 50);
            CHECK(log.dropped() == 0);
        }
        const std::string& text = pipe.finish();
        const auto found = replay(split_lines(text));
        if (found.first)
            FAIL(found.first->line << ": " << found.first->what);
        CHECK(actions > 500);
        CHECK(found.actions_compared == actions);
        CHECK(found.events == 2003);
        CHECK(text.find(secret) == std::string::npos);
    }
}

// An operator pipes the trace into a program that stops reading. Decisions go
// on; what is lost is counted, and the core is not held up.
TEST_CASE("reader_stalled_lines_dropped_and_counted")
{
    int ends[2] = {-1, -1};
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    {
        recorder log(ends[1], random_run::made(1), 16);
        for (int count = 0; count < 20'000; ++count)
            log.record(delivery::tick{}, base::instant{}, {});
        CHECK(log.dropped() > 1000);
    }
    ::close(ends[1]);
    ::close(ends[0]);
}

TEST_CASE("every_alternative_written_and_read_back_alike")
{
    using namespace delivery;
    const base::dispatch_id id{base::incarnation{~0ULL}, 3};
    const base::slot_id slot("a");
    const auto whole = std::make_shared<const base::answer>(
        base::answer{"text/plain", secret, 5, true});
    const idempotency::claim_subject key =
        idempotency::caller_key{base::workspace_id("w"), "order-7"};
    const idempotency::claim_subject ticket =
        idempotency::ticket{{}, slot, base::incarnation{2}, 9};
    request_arrived arrived;
    arrived.subject = key;
    arrived.deadline_after = base::duration(123'456);
    config::snapshot snapshot;
    config::workspace_rules& rules = snapshot.workspaces["w"];
    rules.name = "w";
    rules.id = base::workspace_id("w");
    rules.kinds.emplace_back().name = "review";
    rules.kinds.back().id = base::kind_id("review");
    capacity::load_digest digest;
    digest.uses.push_back({base::upstream_id("u"), 1, 2, true});
    digest.demands.push_back(
        {base::upstream_class_id("c"), {1, 2, 3, 4}, {5, 6, 7, 8}});
    digest.limits.push_back({base::workspace_id("w"), {}, 3, 4});
    membership::heartbeat beat;
    beat.known_incarnations.push_back({slot, base::incarnation{5}});
    beat.platform = base::platform_reachability::unreachable;
    using idempotency::answer_reply;
    const std::vector<event> events = {
        arrived,
        ticket_wanted{base::request_id{3}},
        process_paused{},
        caller_gone{base::request_id{4}},
        connect_refused{id, 2},
        stream_progressed{id, 8},
        stream_finished{id, whole, 3},
        stream_broken{id, 2, break_cause::malformed},
        claim_message{
            slot,
            {},
            idempotency::claim_request{1, slot, {}, slot, {}, 7, ticket}},
        claim_message{slot, {}, idempotency::claim_reply{}},
        claim_message{slot, {}, idempotency::answer_request{}},
        claim_message{slot, {}, idempotency::claim_release{}},
        config_changed{std::make_shared<const config::snapshot>(snapshot)},
        instances_listed{{4, {{"n", {}, "d", "127.0.0.1:1", {}}}}},
        own_listing_read{base::instant(base::duration(8))},
        peer_heartbeat{beat, base::instant(base::duration(9))},
        peer_load{slot, {}, digest},
        peer_lost{slot},
        upstream_reported{{base::upstream_id("u"),
                           base::duration(5),
                           1,
                           2,
                           3,
                           {base::model_id("m")}}},
        upstream_cache_changed{{base::upstream_id("u"), 1, 2, false}},
        stop_begun{},
        stop_forced{},
        load_due{},
        tick{}};
    for (const event& one : events)
        if (!std::holds_alternative<stream_finished>(one))
            check_same(one, event_from);
    answer_reply reply;
    reply.body = secret;
    const std::vector<action> actions = {
        start_dispatch{base::request_id{1}, id, base::upstream_id("u"), 1},
        start_resume{base::request_id{1}, id, base::upstream_id("u"), 2, 40},
        stop_stream{base::request_id{1}, id, base::upstream_id("u"), 2, true},
        end_answered{base::request_id{1}, nullptr},
        end_failed{base::request_id{1},
                   base::not_run(base::reason::overloaded, base::duration(7))},
        send_claim_message{slot,
                           idempotency::claim_release{4, slot, {}, {}, key}},
        assign_ticket{base::request_id{1},
                      std::get<idempotency::ticket>(ticket)},
        send_load_digest{digest}};
    for (const action& one : actions)
        check_same(one, action_from);
    for (const event& one : {event(stream_finished{id, whole, 3}),
                             event(claim_message{slot, {}, reply})}) {
        const auto line = to_json(one);
        CHECK(line.dump().find(secret) == std::string::npos);
        CHECK(event_from(line).has_value());
    }
}

// A recording of a daemon with settings of its own replayed another way: the
// header lacked the options of placement and of claims.
TEST_CASE("options_other_than_the_defaults_read_back_alike")
{
    delivery::scheduler_options options = random_run::made(5);
    options.admission.shed_estimate_factor = 0.25;
    options.admission.distress_hold = base::duration(37);
    options.desk.homes_lag = base::duration(41);
    options.admission.floor_age[1] = base::duration(17);
    options.placement.policy = placement::policy_choice::least_reported;
    options.placement.patience_floor = base::duration(19);
    options.desk.started_wall =
        idempotency::wall_time(std::chrono::milliseconds(1'700'000'000'123));
    options.desk.started = base::instant(base::duration(23));
    options.desk.condition = idempotency::lease_condition::platform_list;
    options.desk.answer_bytes_max = 29;
    options.desk.answer_age_max = base::duration(31);
    const auto written = to_json(options);
    const auto back = options_from(written);
    REQUIRE(back);
    CHECK(to_json(*back) == written);
    CHECK(back->admission.shed_estimate_factor == 0.25);
    CHECK(back->admission.distress_hold == base::duration(37));
    CHECK(back->desk.homes_lag == base::duration(41));
    CHECK(back->admission.floor_age[1] == base::duration(17));
    CHECK(back->placement.policy == placement::policy_choice::least_reported);
    CHECK(back->placement.patience_floor == base::duration(19));
    CHECK(back->desk.started_wall == options.desk.started_wall);
    CHECK(back->desk.started == options.desk.started);
    CHECK(back->desk.condition == options.desk.condition);
    CHECK(back->desk.answer_bytes_max == 29);
    CHECK(back->desk.answer_age_max == base::duration(31));
}

} // namespace greengagedrum::trace
