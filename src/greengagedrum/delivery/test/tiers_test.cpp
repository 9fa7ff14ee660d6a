// Who gives way to whom when there is not enough for all.
#include <greengagedrum/delivery/test/scheduler_fixture.hpp>

namespace greengagedrum::delivery
{

using base::repetition;
using base::tier;
using namespace std::chrono_literals;

namespace
{

// Two engines with two places each.
struct tiers_fixture : scheduler_fixture {
    explicit tiers_fixture(const scheduler_options& options = default_options())
        : scheduler_fixture(options)
    {
    }

    static base::request_spec make_spec(tier request_tier,
                                        repetition allowed_repetition,
                                        bool preemptible = false)
    {
        base::request_spec out;
        out.workspace = base::workspace_id("mall");
        out.kind = base::kind_id("review");
        out.upstream_class = base::upstream_class_id("photo");
        out.model = base::model_id("compliance");
        out.tier = request_tier;
        out.repetition = allowed_repetition;
        out.preemptible = preemptible;
        out.prompt_tokens = 1000;
        out.output_tokens = 400;
        return out;
    }

    base::request_id send(const base::request_spec& spec,
                          base::duration deadline = std::chrono::seconds(60))
    {
        request_arrived arrival;
        arrival.request = base::request_id{++this->last_request};
        arrival.spec = spec;
        arrival.deadline_after = deadline;
        this->step(arrival);
        return arrival.request;
    }

    // `count` requests, asked one by one.
    void send_requests(std::size_t count, const base::request_spec& spec)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->send(spec);
    }

    void finish(base::request_id id)
    {
        const request* item = this->core.find(id);
        REQUIRE(item != nullptr);
        this->step(stream_finished{item->dispatch, make_answer()});
    }

    bool is_running(base::request_id id) const
    {
        return this->core.running().find(id) != nullptr;
    }
};

const base::request_spec bulk_at_most_once =
    tiers_fixture::make_spec(tier::bulk, repetition::at_most_once);
const base::request_spec bulk_preemptible =
    tiers_fixture::make_spec(tier::bulk, repetition::idempotent, true);
const base::request_spec urgent_idempotent =
    tiers_fixture::make_spec(tier::urgent, repetition::idempotent);

struct short_queue_fixture : tiers_fixture {
    short_queue_fixture() : tiers_fixture(short_queue_options()) {}

    static scheduler_options short_queue_options()
    {
        scheduler_options out = default_options();
        out.admission.waiting_max = 2;
        return out;
    }
};

} // namespace

// Weekend dossiers hold every place when a gate asks for a status. The gate
// waited for a dossier's end; now its ping goes out in the same step, beyond
// the allowance, and no dossier is touched.
TEST_CASE_FIXTURE(tiers_fixture, "bulk_fills_slots_urgent_overdraws_at_once")
{
    this->send_requests(6, bulk_at_most_once);
    const base::request_id urgent = this->send(urgent_idempotent);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    CHECK(this->first_action<start_dispatch>()->request == urgent);
    CHECK(this->first_action<stop_stream>() == nullptr);
    CHECK(this->core.counters().overdrafts == 1);
}

// After an overdraft one dossier ends, and the engine is only back at its
// allowance: the next dossier must not take the place that was lent.
TEST_CASE_FIXTURE(tiers_fixture, "overdraft_open_lower_tier_not_dispatched")
{
    this->send_requests(6, bulk_at_most_once); // 1 to 4 run
    const base::request_id urgent = this->send(urgent_idempotent);
    const base::upstream_id overdrawn = this->core.find(urgent)->upstream;
    std::vector<base::request_id> running_there;
    for (std::uint64_t id = 1; id <= 4; ++id)
        if (this->core.find(base::request_id{id})->upstream == overdrawn)
            running_there.push_back(base::request_id{id});
    this->finish(running_there.at(0));
    CHECK_FALSE(this->is_running(base::request_id{5}));
    this->finish(urgent);
    CHECK(this->is_running(base::request_id{5}));
}

// Pings fill the overdraft too, and the next one's last chance comes. Then one
// caption is cancelled, the one whose prompt is not read yet; it waits and
// runs again, and its tries are intact.
TEST_CASE_FIXTURE(tiers_fixture, "last_chance_least_prefill_preempted")
{
    this->send_requests(4, bulk_preemptible);
    for (const std::uint64_t id : {1, 2, 4}) {
        const request* item = this->core.find(base::request_id{id});
        this->step(stream_progressed{item->dispatch, 5});
    }
    this->send_requests(2, urgent_idempotent);
    const base::request_id urgent =
        this->send(urgent_idempotent, std::chrono::seconds(3));
    CHECK(this->core.counters().preempted == 0);
    REQUIRE(this->run_until<stop_stream>(std::chrono::seconds(3)));
    CHECK(this->first_action<stop_stream>()->request == base::request_id{3});
    CHECK(this->first_action<stop_stream>()->cancel);
    CHECK(this->is_running(urgent));
    const request* preempted = this->core.find(base::request_id{3});
    REQUIRE(preempted != nullptr);
    CHECK(preempted->phase == phase::queued);
    CHECK(preempted->dispatches == 0);
    CHECK(preempted->run_state() == base::run_state::may_have_run);
}

// The same with work dispatched at most once: a dossier cut off would be lost
// for good, so the ping waits in line and takes the next place.
TEST_CASE_FIXTURE(tiers_fixture, "only_at_most_once_running_none_preempted")
{
    base::request_spec preemptible_at_most_once = bulk_at_most_once;
    preemptible_at_most_once.preemptible = true; // an operator's mistake
    this->send_requests(4, preemptible_at_most_once);
    this->send_requests(2, urgent_idempotent);
    const base::request_id urgent = this->send(urgent_idempotent);
    CHECK(this->first_action<stop_stream>() == nullptr);
    CHECK_FALSE(this->is_running(urgent));
    this->finish(base::request_id{1});
    CHECK(this->is_running(urgent));
}

// And when no dossier ends before the ping's time is over: it goes out beyond
// the overdraft rather than being told not_run while dossiers run.
TEST_CASE_FIXTURE(tiers_fixture, "last_chance_urgent_forced_not_shed")
{
    this->send_requests(4, bulk_at_most_once);
    this->send_requests(2, urgent_idempotent);
    const base::request_id urgent =
        this->send(urgent_idempotent, std::chrono::seconds(3));
    CHECK_FALSE(this->is_running(urgent));
    REQUIRE(this->run_until<start_dispatch>(std::chrono::seconds(3)));
    CHECK(this->first_action<start_dispatch>()->request == urgent);
    CHECK(this->first_action<end_failed>() == nullptr);
    CHECK(this->core.counters().forced == 1);
}

// Pings never end for a minute. One summary was asked for before: it starts
// within its floor's age of a second, though every place is wanted by pings.
TEST_CASE_FIXTURE(tiers_fixture, "urgent_flood_bulk_starts_within_floor_age")
{
    this->send_requests(20, urgent_idempotent);
    const base::request_id bulk = this->send(bulk_at_most_once);
    base::instant queued_at = this->now;
    while (!this->is_running(bulk) && this->now - queued_at < 2s) {
        this->now += 10ms;
        std::optional<base::request_id> finished;
        for (std::uint64_t id = 1; id <= this->last_request && !finished; ++id)
            if (this->is_running(base::request_id{id}))
                finished = base::request_id{id};
        REQUIRE(finished);
        this->finish(*finished);
        this->send(urgent_idempotent);
    }
    CHECK(this->is_running(bulk));
    CHECK(this->now - queued_at <= 1010ms);
}

// The line is full of captions when a crop check comes: one caption is told
// not_run with a time to come back, the crop check stays.
TEST_CASE_FIXTURE(short_queue_fixture, "queue_full_lowest_tier_shed")
{
    this->send_requests(4, bulk_at_most_once);
    this->send_requests(2, bulk_preemptible);
    const base::request_id standard =
        this->send(make_spec(tier::standard, repetition::idempotent));
    const auto* end = this->first_action<end_failed>();
    REQUIRE(end != nullptr);
    CHECK(end->request != standard);
    CHECK(end->verdict.why == base::reason::overloaded);
    CHECK(end->verdict.run == base::run_state::not_run);
    CHECK(end->verdict.retry_after.has_value());
    CHECK(this->core.find(standard) != nullptr);
}

// Fifty dossiers wait and a fifty-first asks for an answer within ten seconds.
// It would hear not_run after ten seconds; it hears so at once, and when the
// line will have become short enough.
TEST_CASE_FIXTURE(tiers_fixture, "deadline_unreachable_rejected_at_once")
{
    this->send_requests(54, bulk_at_most_once);
    this->send(bulk_at_most_once, std::chrono::seconds(10));
    const auto* end = this->first_action<end_failed>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.why == base::reason::deadline);
    REQUIRE(end->verdict.retry_after.has_value());
    // 50 x 2.56 s expected, by 4 places: 32 s to drain, 2.6 s to run.
    CHECK(*end->verdict.retry_after > std::chrono::seconds(20));
    CHECK(*end->verdict.retry_after < std::chrono::seconds(30));
}

// The same request in a higher tier stays: bulk work runs and would give way.
TEST_CASE_FIXTURE(tiers_fixture, "deadline_unreachable_higher_tier_kept")
{
    this->send_requests(54, bulk_at_most_once);
    const auto id =
        this->send(make_spec(tier::standard, repetition::idempotent),
                   std::chrono::milliseconds(1));
    CHECK(this->first_action<end_failed>() == nullptr);
    CHECK(this->core.find(id) != nullptr);
}

// A workspace may have two reviews at once. Its third waits though places are
// free, and is told limit_reached when its time is over: that is the limit's
// doing, no tier's.
TEST_CASE_FIXTURE(tiers_fixture,
                  "workspace_limit_reached_queued_until_deadline")
{
    config::snapshot snapshot;
    snapshot.fleet.upstreams = {make_upstream("photo-1"),
                                make_upstream("photo-2")};
    config::workspace_rules workspace;
    workspace.id = base::workspace_id("mall");
    config::kind_rules kind;
    kind.id = base::kind_id("review");
    kind.max_in_flight = 2;
    workspace.kinds = {kind};
    snapshot.workspaces.emplace("mall", workspace);
    this->step(
        config_changed{std::make_shared<const config::snapshot>(snapshot)});
    this->send_requests(2, bulk_at_most_once);
    const auto third = this->send(bulk_at_most_once, std::chrono::seconds(10));
    CHECK_FALSE(this->is_running(third));
    base::request_spec other_workspace = bulk_at_most_once;
    other_workspace.workspace = base::workspace_id("counter");
    CHECK(this->is_running(this->send(other_workspace)));
    // The two that run make progress; only the third's time passes.
    while (this->now < base::instant{std::chrono::seconds(9)}) {
        for (const std::uint64_t id : {1, 2, 4}) {
            const request* item = this->core.find(base::request_id{id});
            this->step(
                stream_progressed{item->dispatch, item->tokens_received + 1});
        }
        this->advance(std::chrono::seconds(1));
        if (this->first_action<end_failed>() != nullptr)
            break;
    }
    REQUIRE(this->first_action<end_failed>() != nullptr);
    CHECK(this->first_action<end_failed>()->request == third);
    CHECK(this->first_action<end_failed>()->verdict.why ==
          base::reason::limit_reached);
}

} // namespace greengagedrum::delivery
