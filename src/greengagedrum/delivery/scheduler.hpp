// The deterministic scheduler of an instance's requests.
#pragma once

#include <greengagedrum/admission/controller.hpp>
#include <greengagedrum/admission/distress.hpp>
#include <greengagedrum/admission/run_estimator.hpp>
#include <greengagedrum/admission/running_set.hpp>
#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/capacity/shares.hpp>
#include <greengagedrum/delivery/backoff.hpp>
#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/delivery/request.hpp>
#include <greengagedrum/delivery/retry_budget.hpp>
#include <greengagedrum/delivery/timer_queue.hpp>
#include <greengagedrum/idempotency/desk.hpp>
#include <greengagedrum/placement/planner.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::delivery
{

// The identity of this instance and the settings of the scheduler.
struct scheduler_options {
    base::slot_id slot;
    base::incarnation incarnation;
    base::data_centre_id data_centre;
    std::uint64_t seed = 1;
    admission::options admission;
    // Their slot, data centre, incarnation and seed are overwritten by those
    // above.
    idempotency::desk_options desk;
    placement::options placement;
    std::uint32_t resumes_max = 5; // attempts in a row without progress
    // For how long after its last progress the stream of an at-most-once
    // request is resumed while its upstream can't be reached.
    base::duration unreachable_resume_window = std::chrono::seconds(60);
    backoff_range resume_backoff;
    backoff_range retry_backoff;
    std::uint32_t dispatches_max = 3; // per idempotent request
    double retry_fraction = 0.1;
    double retry_bound = 50;
};

// Counts since the start of the process, for metrics and reports.
struct scheduler_counters {
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t resumed = 0;
    std::uint64_t retried = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::array<std::uint64_t, base::tier_count> shed{};
    std::uint64_t prefill_wasted = 0; // prompt tokens of abandoned dispatches
    std::uint64_t overdrafts = 0; // dispatches beyond the upstream's allowance
    std::uint64_t forced =
        0; // dispatches beyond the overdraft, up to the hard bound
    std::uint64_t recalled = 0;  // answered with a kept answer
    std::uint64_t preempted = 0; // dispatches cancelled for higher tiers
    std::array<std::uint64_t, base::tier_count> retried_by_tier{};
    std::array<std::uint64_t, base::tier_count> resumed_by_tier{};
    std::array<std::uint64_t, base::tier_count> prefill_wasted_by_tier{};
};

// One deterministic state machine for all requests that this instance accepted.
// It does no I/O: step() takes an event with its time and returns actions,
// which the I/O threads carry out. It sees no sockets, request bodies or
// credentials. Its actions and their order depend only on the events, their
// times and the seed.
class scheduler
{
public:
    explicit scheduler(const scheduler_options& options);

    // Processes one event and appends the resulting actions to `out`.
    void step(const event& what, base::instant now, std::vector<action>& out);

    // When step(tick) has to be called at the latest, if at all.
    std::optional<base::instant> next_wake() const;

    std::size_t in_flight() const { return this->requests.size(); }
    std::size_t waiting() const { return this->admission.waiting(); }
    bool stopping() const { return this->stop_requested; }
    const scheduler_counters& counters() const { return this->count; }

    // Null when the request is unknown or has ended.
    const request* find(base::request_id id) const;

    // The state against which the tier invariant is checked, see
    // admission/invariant.hpp.
    const admission::running_set& running() const
    {
        return this->running_requests;
    }
    std::vector<placement::room> rooms(const base::request_spec& item) const
    {
        return this->planner.rooms(item);
    }

    // For status pages.
    std::vector<placement::upstream_view> upstreams(base::instant at) const
    {
        return this->planner.views(at);
    }

private:
    void on(const request_arrived& what);
    void on(const ticket_wanted& what);
    void on(const caller_gone& what);
    void on(const connect_refused& what);
    void on(const stream_progressed& what);
    void on(const stream_finished& what);
    void on(const stream_broken& what);
    void on(const claim_message& what);
    void on(const config_changed& what);
    void on(const instances_listed& what);
    void on(const own_listing_read& what);
    void on(const peer_heartbeat& what);
    void on(const process_paused& what);
    void on(const peer_load& what);
    void on(const peer_lost& what);
    void on(const upstream_reported& what);
    void on(const upstream_cache_changed& what);
    void on(const stop_begun& what);
    void on(const stop_forced& what);
    void on(const load_due& what);
    void on(const tick& what);

    void fire_timers();
    void on_timer(request& item);
    void dispatch_queued();
    void dispatch(request& item, base::upstream_id upstream);
    void enqueue(request& item);
    void handle_broken_stream(request& item, break_cause cause);
    void schedule_resume(request& item);
    void resume(request& item);
    void break_stream(const request& item, bool cancel);
    void retry_or_end(request& item, base::reason why);
    void end_with_answer(request& item, base::answer_ptr answer);
    void end_with_verdict(request& item, base::verdict verdict);
    void end_without_upstream(request& item);
    void remove(request& item);
    void change_phase(request& item, phase to);
    void set_progress_timer(request& item);
    request* find_by_dispatch(base::dispatch_id dispatch);
    void count_wasted_prefill(const request& item);
    double random();

    // claims.cpp: tickets and idempotency keys.
    void begin_claim(request& item);
    base::data_centre_id home_of(base::workspace_id workspace) const;
    void update_home_data_centres();
    bool check_grant(request& item);
    void renew_expired_grants();
    base::run_state close_claim(request& item, base::run_state run);
    bool apply_desk_outputs();
    void apply(const idempotency::granted& what);
    void apply(const idempotency::attached& what);
    void apply(const idempotency::recalled& what);
    void apply(const idempotency::refused& what);
    void apply(const idempotency::send& what);

    // waiting.cpp: the queue, dispatch from it and shedding.
    using rooms_view = std::span<const placement::room>;
    bool try_dispatch(base::request_id id,
                      const base::request_spec& item,
                      admission::grant);
    bool dispatch_to_free_slot(request& item);
    bool dispatch_within_floor(request& item);
    bool make_room(request& item);
    void mark_distress(const base::request_spec& item);
    bool overdraw(request& item, rooms_view rooms, double share);
    bool force_dispatch(request& item);
    bool lower_tier_runs_here(const base::request_spec& item,
                              rooms_view rooms) const;
    bool lower_runs_at_peers(const base::request_spec& item) const;
    std::uint32_t floor_slots(rooms_view rooms) const;
    void on_queue_timeout(request& item);
    void add_shed_candidate(const request& item, base::reason why);
    void force_or_shed_candidates();
    void shed(request& item, base::reason why);
    bool can_meet_deadline(const request& item, base::duration expected);
    base::duration expected_wait(const base::request_spec& item) const;
    base::duration retry_after_for(const base::request_spec& item) const;

    // preemption.cpp: cancelling requests of lower tiers.
    bool preempt_lower_tier(request& item, rooms_view rooms);
    bool may_be_preempted(const request& item) const;
    double lost_prefill_tokens(const request& item) const;
    void requeue_preempted(request& item);

    // sharing.cpp: this instance's shares of upstreams and limits.
    void set_entries();
    void update_shares();
    void set_own_limits();
    capacity::load_digest own_load();
    void add_limit_usage(capacity::load_digest& digest);

    scheduler_options options;
    std::mt19937_64 generator;
    admission::controller admission;
    placement::planner planner;
    idempotency::desk desk;
    std::unordered_map<base::workspace_id, base::data_centre_id>
        home_data_centres;
    admission::running_set running_requests;
    admission::run_estimator estimator;
    admission::distress distress;
    capacity::shares shares;
    base::instant next_share_refresh;
    base::instant last_digest_at;
    std::map<admission::limit_key, std::uint64_t> reported_tokens;
    retry_budget retries;
    timer_queue timers;
    std::unordered_map<base::request_id, request> requests;
    std::unordered_map<base::dispatch_id, base::request_id> dispatches;
    config::snapshot_ptr snapshot;
    membership::instance_list instance_listing;
    scheduler_counters count;
    std::uint64_t next_dispatch = 1;
    bool stop_requested = false;

    // Used within step() only.
    std::vector<idempotency::output> desk_outputs;
    std::vector<base::request_id> expired_grants;
    std::vector<std::pair<base::request_id, base::reason>> shed_candidates;
    base::instant now;
    std::vector<action>* out = nullptr;
};

} // namespace greengagedrum::delivery
