// Priority between tiers when capacity is short: overdrafts, preemption, floors
// and shedding.
#include <greengagedrum/delivery/test/scheduler_fixture.hpp>

namespace greengagedrum::delivery
{

using base::repetition;
using base::tier;
using namespace std::chrono_literals;

namespace
{

// Two upstreams with two slots each.
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

    // Sends `count` requests in separate steps.
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

// Bulk requests hold every slot when an urgent request arrives. It must not
// wait until a bulk request ends: it is dispatched in the same step, beyond the
// allowance, and no bulk request is cancelled.
TEST_CASE_FIXTURE(tiers_fixture, "bulk_fills_slots_urgent_overdraws_at_once")
{
    this->send_requests(6, bulk_at_most_once);
    const base::request_id urgent = this->send(urgent_idempotent);
    REQUIRE(this->first_action<start_dispatch>() != nullptr);
    CHECK(this->first_action<start_dispatch>()->request == urgent);
    CHECK(this->first_action<stop_stream>() == nullptr);
    CHECK(this->core.counters().overdrafts == 1);
}

// After an overdraft one bulk request ends, which only returns the upstream to
// its allowance. The next bulk request must not take the overdrawn slot.
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

// Urgent requests fill the overdraft too, and the next urgent request reaches
// the last time at which it can meet its deadline. One preemptible bulk request
// is cancelled, the one whose prefill is not complete. It returns to the queue,
// and the preemption does not count against its dispatches.
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

// All bulk requests are at-most-once, so cancelling one would lose it for good.
// The urgent request waits in the queue and takes the next free slot.
TEST_CASE_FIXTURE(tiers_fixture, "only_at_most_once_running_none_preempted")
{
    base::request_spec preemptible_at_most_once = bulk_at_most_once;
    preemptible_at_most_once.preemptible = true; // configuration error
    this->send_requests(4, preemptible_at_most_once);
    this->send_requests(2, urgent_idempotent);
    const base::request_id urgent = this->send(urgent_idempotent);
    CHECK(this->first_action<stop_stream>() == nullptr);
    CHECK_FALSE(this->is_running(urgent));
    this->finish(base::request_id{1});
    CHECK(this->is_running(urgent));
}

// No at-most-once bulk request ends before the urgent request runs out of time.
// The urgent request is dispatched beyond the overdraft instead of ending with
// not_run while a lower tier runs.
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

// Urgent requests arrive without pause and want every slot. A bulk request
// still starts within its floor age of 1 s.
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

// The queue is full of bulk requests when a standard request arrives. One bulk
// request ends with not_run and a retry time; the standard request stays.
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

// Fifty bulk requests wait and another one has a deadline of 10 s, which it
// can't meet. It ends with not_run at once instead of at its deadline, with the
// time after which the queue will be short enough.
TEST_CASE_FIXTURE(tiers_fixture, "deadline_unreachable_rejected_at_once")
{
    this->send_requests(54, bulk_at_most_once);
    this->send(bulk_at_most_once, std::chrono::seconds(10));
    const auto* end = this->first_action<end_failed>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict.why == base::reason::deadline);
    REQUIRE(end->verdict.retry_after.has_value());
    // 50 x 2.56 s estimated, on 4 slots: 32 s to drain, 2.6 s to run.
    CHECK(*end->verdict.retry_after > std::chrono::seconds(20));
    CHECK(*end->verdict.retry_after < std::chrono::seconds(30));
}

// A higher-tier request with too short a deadline stays in the queue: the bulk
// requests that run would give way to it.
TEST_CASE_FIXTURE(tiers_fixture, "deadline_unreachable_higher_tier_kept")
{
    this->send_requests(54, bulk_at_most_once);
    const auto id =
        this->send(make_spec(tier::standard, repetition::idempotent),
                   std::chrono::milliseconds(1));
    CHECK(this->first_action<end_failed>() == nullptr);
    CHECK(this->core.find(id) != nullptr);
}

// A workspace may have two requests of a kind in flight. Its third waits
// although slots are free, and ends with limit_reached at its deadline, since
// the limit and no other tier delayed it.
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
    // The running requests make progress, so only the third runs out of time.
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
