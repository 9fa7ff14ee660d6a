// Schedules the requests of one entry. A request waits for a slot, is sent to
// an upstream, and ends with the upstream's answer or with a verdict of this
// entry.
//
// The scheduler uses no sockets and no clock: events come in with their time,
// and actions go out. A request that must not be repeated is sent a second time
// only if the first upstream guaranteed that it did not run it.
#pragma once

#include <greengagedrum/quarantine/suspect_table.hpp>
#include <greengagedrum/traffic/messages.hpp>
#include <greengagedrum/traffic/queue_figures.hpp>
#include <greengagedrum/traffic/retry_budget.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>
#include <greengagedrum/traffic/wait_queue.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

// The queue lengths of one service at one entry, as reported to its peers.
struct queue_report {
    base::upstream_class_id service;
    queue_lengths lengths{};
};

// A queued request of this entry, as a slot for it is requested from the
// dispatching entry.
struct queued_send {
    base::request_id request;
    std::uint32_t send = 0; // number of the send that a slot is requested for
    request_facts facts;    // times are relative to now
    std::vector<base::upstream_id> tried;
};

struct active_send {
    base::request_id request;
    std::uint32_t send = 0;
    base::upstream_id upstream;
    std::uint32_t pending_prefill_tokens = 0;
};

struct scheduler_counters {
    std::uint64_t arrived = 0;
    std::uint64_t sent = 0;
    std::uint64_t retried = 0;
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0; // requests refused without having run
    std::uint64_t failed = 0;  // without an answer, may have run
    std::uint64_t left = 0;    // callers that disconnected before their answer
    std::uint64_t dispatch_passes = 0; // over the queue of a service
    // Upstreams rated for queued requests; most of a pass's processor time.
    std::uint64_t upstreams_rated = 0;
};

class scheduler
{
public:
    scheduler(const retry_budget_settings& bounds, entry_identity own)
        : suspects(own.salt), pool(std::move(own)), retries(bounds)
    {
    }

    void step(const event& what, base::instant now, actions& out);

    // Handles timeouts and silent upstreams, then dispatches queued requests.
    void tick(base::instant now, actions& out);
    // Only dispatches queued requests, after a peer reported that it freed
    // slots.
    void dispatch_queued(base::instant now, actions& out);
    // The latest time at which tick() must be called next.
    std::optional<base::instant> next_wake() const;

    void upstream_joined(const routing::published_upstream& entry,
                         base::instant now);
    void upstream_left(base::upstream_id upstream);

    void on_peer_report(base::slot_id peer,
                        std::span<const upstream_load> uses,
                        std::span<const queue_report> waiting,
                        base::instant now);
    void on_peer_lost(base::slot_id peer);
    // Sets the number of entries that dispatch requests, this one included.
    void set_entry_count(std::size_t count);
    // Sets the slow-start bound of a service that publishes one, in requests a
    // second for each cold upstream.
    void set_slow_start_rate(base::upstream_class_id service,
                             std::uint32_t sends)
    {
        this->pool.set_slow_start_rate(service, sends);
    }
    void set_slow_start_share(const slow_start_share& share)
    {
        this->pool.set_slow_start_share(share);
    }
    // Sets the number of entries that retry failed requests. By default that is
    // the number of entries that dispatch requests.
    void set_retrying_entry_count(std::size_t count)
    {
        this->retries.set_entry_count(std::max<std::size_t>(1, count));
    }
    // Sets the shortest interval between two messages of a peer in the own data
    // centre.
    void set_gossip_interval(base::duration gap)
    {
        this->pool.set_gossip_interval(gap);
    }
    void set_regions(const routing::region_map& all)
    {
        this->pool.set_regions(all);
    }
    // A connect of this entry to the upstream took that long.
    void record_connect(base::upstream_id upstream, base::duration took)
    {
        this->pool.record_connect(upstream, took);
    }
    void set_retry_budget(const retry_budget_settings& bounds)
    {
        this->retries.set_bounds(bounds);
    }

    // The entry stops: requests that may not end by then are refused, unless
    // they have been sent.
    void set_stop_time(base::instant end) { this->stop_at = end; }
    // Ends all requests of this entry: those that can't have run are refused.
    void end_all(base::instant now, actions& out);

    // Pauses sending while the known state of the cluster is stale.
    void set_paused(bool paused) { this->paused = paused; }

    // While it isn't known what peers have quarantined, requests that may be
    // wait in the queue.
    void set_quarantine_known(bool known) { this->quarantine_known = known; }

    // Sets the upstreams to which an entry keeps an idle connection.
    void set_kept_upstreams(base::slot_id sender,
                            std::vector<base::upstream_id> upstreams);

    // While delegating, another entry dispatches this entry's requests, and
    // slots for queued requests are requested from it.
    void set_delegating(bool to_another) { this->delegating = to_another; }
    bool is_delegating() const { return this->delegating; }
    std::vector<queued_send> queued_sends(base::instant now) const;
    std::vector<active_send> active_sends() const;

    std::vector<upstream_load> own_load(base::instant now) const
    {
        return this->pool.own_load(now);
    }
    std::vector<queue_report> own_queue_reports() const;

    // The requests known to this entry that crash upstreams.
    quarantine::suspect_table& crash_suspects() { return this->suspects; }
    const quarantine::suspect_table& crash_suspects() const
    {
        return this->suspects;
    }

    // The rate limits that upstreams announce.
    traffic::announced_limits& announced_limits()
    {
        return this->pool.announced_limits();
    }
    const traffic::announced_limits& announced_limits() const
    {
        return this->pool.announced_limits();
    }

    traffic::limit_permits& limit_permits()
    {
        return this->pool.limit_permits();
    }
    // Queued requests for which other entries could give permits.
    std::vector<limit_need> limit_needs(base::instant now) const;
    // Permits for another entry, whose message of that number stated its needs.
    std::vector<limit_permit> give_permits(std::span<const limit_need> needs,
                                           std::uint64_t need_number,
                                           base::instant now);

    std::size_t in_flight() const { return this->requests.size(); }
    std::size_t waiting() const;
    const scheduler_counters& counters() const { return this->count; }
    // The figures of each service since the last call.
    std::vector<service_queue_figures> take_queue_figures();
    const upstream_pool& upstreams() const { return this->pool; }

private:
    // Connects that may fail before a request is given up. In a network
    // partition that refuses connects, most upstreams fail within milliseconds.
    // With a bound of five, requests ended although three upstreams in their
    // own data centre were reachable.
    static constexpr std::uint32_t connects_max = 12;

    struct request {
        base::request_id id;
        request_facts facts;
        base::instant arrived;
        base::instant queued_at;
        base::instant overtaken_from; // in the queue
        base::instant give_up_at; // a queued request is refused from then on
        base::instant deadline;   // no answer is of use after it
        base::instant caller_deadline; // for all tries of the caller
        // Waits for a slot; with an active send, for one elsewhere.
        bool queued = false;
        std::uint32_t sends = 0;     // sends that reached an upstream
        std::uint32_t uncertain = 0; // of these, may have run it
        std::uint32_t connects = 0;  // sends with failed connects included
        std::uint32_t send = 0;      // number of the active send; 0: none
        base::upstream_id upstream;
        base::version_id upstream_version; // as published when it was sent
        base::instant sent_at;
        base::instant progress_at;
        base::instant first_event_at;
        double expected = 0; // seconds to the first event, estimated when sent
        std::uint32_t events = 0;
        bool silence_reported = false;
        std::optional<base::instant> paused_at; // reading from the upstream
        bool carrier_stops =
            false; // the peer that the active send goes through
        base::instant denied_until; // asks for no other slot before
        // When it first waited beside a free slot for a better one.
        std::optional<base::instant> passed_slot_at;
        bool parts_cleared = false; // its answer went on for a while
        bool ends_without_version = false;
        // A silent send was given up, and no event has come since.
        bool replaces_silent = false;
        std::vector<base::upstream_id> tried;
        // Those of them that were left only for their silence.
        std::vector<base::upstream_id> left_silent;
    };

    // A free slot at which a request costs callers more time than at upstreams
    // that are full.
    struct passed_slot {
        base::kind_id kind; // of the request
        std::uint32_t prompt_tokens = 0;
        double better_slots = 0;
        double gain = 0;      // seconds, without the wait
        double uncertain = 0; // of the gain, in seconds
    };

    void on(const request_arrived& what);
    void on(const caller_left& what);
    void on(const connect_failed& what);
    void on(const send_rejected& what);
    void on(const events_received& what);
    void on(const reading_paused& what);
    void on(const reading_resumed& what);
    void on(const carrier_stopping& what);
    void on(const answer_received& what);
    void on(const answer_interrupted& what);
    void on(const upstream_checked& what);
    void on(const slot_granted& what);
    void on(const slot_denied& what);
    void on(const rate_limit_read& what);

    request* find_active_send(base::request_id id, std::uint32_t send);
    request* find_queued(base::request_id id, std::uint32_t send);
    void record_arrival(const request_facts& facts);
    void join_queue(request& item);
    void leave_queue(request& item);
    double available_slots(base::upstream_class_id service) const;
    bool cannot_meet_deadline(const request& item) const;
    void refuse_out_of_reach();
    void dispatch_all_queued();
    void dispatch_service(base::upstream_class_id service, wait_queue& queue);
    bool may_be_sent_anywhere(const request& item) const;
    bool dispatch(request& item,
                  const waiting_request& entry,
                  const dispatch_choice& where);
    bool may_wait_for_slot_in_region(const request& item,
                                     const dispatch_choice& offered) const;
    // `seconds_ahead`: hold times of the requests that wait for such a slot and
    // go first.
    bool waits_for_better_slot(request& item,
                               const dispatch_query& query,
                               const dispatch_choice& offered,
                               double seconds_ahead);
    bool waits_like_another(request& item, double seconds_ahead) const;
    bool gains_by_waiting(const request& item,
                          const passed_slot& passed,
                          double seconds_ahead) const;
    queue_lengths queued_at_peers(base::upstream_class_id service) const;
    static bool yields_to_peers(const waiting_request& item,
                                const queue_lengths& elsewhere,
                                std::uint32_t free);
    dispatch_query query_for(const request& item) const;
    void send(request& item, const dispatch_choice& where);
    void bind_to_version(request& item);
    // True when the request is bound to a version of which no upstream other
    // than `except` may be sent the request.
    bool lacks_version(const request& item,
                       base::upstream_id except = {}) const;
    void end_without_version(request& item);
    void end_queued_without_version();
    void refuse_queued_without_upstream();
    std::span<const base::upstream_id>
    kept_upstreams_for(const request& item) const;
    void use_kept_upstream(const request& item);
    void end_send(request& item);
    void record_failure(base::upstream_id upstream, failure_kind what);
    void record_connect_failure(const request& item);
    void record_reached(const request& item);
    static base::slot_id sender_of(const request& item);
    void tell(const std::optional<suspicion_changed>& change);
    static quarantine::request_features features_of(const request& item);
    bool is_quarantined(const request& item) const;
    bool waits_for_copy(const request& item) const;
    bool shares_suspect(const request& running, const request& queued) const;
    bool answer_has_begun(const request& item) const;
    void record_answer_begun(request& item);
    void refuse_quarantined(request& item);
    void record_crash(const request& item);
    void record_unfinished(const request& item);
    // `generated`: see `answer_received`.
    void record_answer(const request& item, bool generated);
    void tell(const quarantine::suspect_table::changes& changes);
    bool may_repeat(const request& item) const;
    bool queue_retry(request& item);
    bool queue_replacement(request& item);
    static void exclude(request& item, base::upstream_id upstream);
    static void readmit_silent(request& item);
    void check_time(request& item);
    void check_silence(request& item);
    bool is_silent(const request& item) const;
    bool should_move(const request& item) const;
    bool may_move(const request& item);
    bool give_up_silent_send(request& item);
    bool outlasts_stop(const request& item) const;
    base::duration hold_expected(const request& item) const;
    stop_estimate stop_estimate_of(const request& item) const;
    void refuse_stopping(request& item);
    void refuse(request& item, base::reason why);
    void fail(request& item, base::reason why);
    void end(request& item, const base::verdict& verdict);
    void forget(request& item);
    base::duration wait_expected(const request& item) const;
    waiting_request queue_entry(const request& item) const;
    base::duration first_event_expected(const request& item) const;

    quarantine::suspect_table suspects;
    upstream_pool pool;
    retry_budget retries;
    std::map<base::upstream_class_id, wait_queue> queues;
    std::map<base::upstream_class_id, queue_figures> figures;
    std::unordered_map<base::request_id, request> requests;
    std::set<base::request_id> bound_and_queued; // to a version
    struct peer_waiting {
        base::instant at;
        std::vector<queue_report> services;
    };
    std::unordered_map<base::slot_id, peer_waiting> peer_queues;
    std::unordered_map<base::slot_id, std::vector<base::upstream_id>>
        kept_upstreams; // by sender
    std::size_t peers_with_queues = 0;
    std::size_t entries = 1;
    bool paused = false;
    bool quarantine_known = true;
    bool delegating = false;
    bool upstream_missing = false; // perhaps, for a queued request
    std::optional<base::instant> stop_at;
    scheduler_counters count;

    dispatch_pass current_pass;
    std::vector<passed_slot> passed_slots; // of the current pass

    // Set only during step(), tick() and dispatch_queued().
    base::instant now;
    actions* out = nullptr;
};

} // namespace greengagedrum::traffic
