// Takes callers' requests, has them decided, and carries the decisions out.
#pragma once

#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/dispatch/send_status_log.hpp>
#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/entry/exchange.hpp>
#include <greengagedrum/entry/rate_limited_log.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/quota/usage_limiter.hpp>
#include <greengagedrum/relay/caller_connection.hpp>
#include <greengagedrum/telemetry/registry.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace greengagedrum::entry
{

// What the parts of an entry share; they all run on its one loop.
struct shared_state {
    std::function<base::instant()> clock;
    cluster_state cluster;
    quota::usage_limiter limiter;
    traffic::scheduler scheduler;
    rate_limited_log log;
    telemetry::registry metrics;
    bool stopping = false;
    // Another entry places this one's requests and counts them against their
    // limits.
    bool delegating = false;
    routing::region_map regions{};
};

// What a dispatcher knows of limits, as it tells the entries next in line.
struct limit_handover {
    base::slot_id sender;
    base::incarnation incarnation;
    std::vector<quota::workspace_usage> usage;
    bool sender_stopping =
        false; // it has none but its own requests from then on
    base::instant received_at;
};

class request_handler
{
public:
    request_handler(relay::asio::io_context& context,
                    const base::ip_endpoint& address,
                    shared_state& state);

    // Something was learnt, or time has passed.
    void tick();
    // Places may be free for what waits.
    void dispatch_queued_requests();

    void apply_upstream_changes(const cluster_changes& changes);

    // Answers say that their connections close from now on.
    void begin_stop();
    // Takes no further connections, and closes those that are idle.
    void stop_accepting();

    // Where it listens, also when it was given any port.
    base::ip_endpoint address() const;

    std::size_t in_flight() const { return this->requests.size(); }
    std::size_t open_connections() const { return this->callers.size(); }

    // Told when the places taken on upstreams have changed, or what waits for
    // them.
    std::function<void()> on_load_changed = [] {};

    // ---- Where one entry of a data centre places for all --------------------

    // Another entry places from now on, or this one does again; of so many
    // others it can't hear what they let through. `known`, if there is any, is
    // what the one that placed knew of limits.
    void start_delegating();
    void stop_delegating(std::size_t unheard, const limit_handover* known);
    // To whoever places, and what it replied.
    dispatch::member_report make_member_report() const;
    void on_dispatcher_reply(const dispatch::dispatcher_reply& what);

    // What a member reported, and that it is gone.
    void on_member_report(base::slot_id member,
                          base::incarnation life,
                          const dispatch::member_report& told,
                          std::span<const traffic::upstream_load> uses);
    void on_member_lost(base::slot_id member);
    dispatch::member_request_table& member_requests() { return this->members; }

private:
    struct active_request {
        std::shared_ptr<exchange> http_exchange;
        base::instant arrived;
        base::instant end_at;
        base::workspace_id workspace;
        base::request_digest digest;
        double cost = 0; // counted against its workspace's limit
        std::uint32_t priority = 0;
        bool counted_here = true; // here, and not where it is placed
        telemetry::series_key series;
        base::duration objective{0};
        base::duration gap_objective{0}; // between events; 0: none
        std::optional<base::instant> sent_at;
        base::instant last_sent_at;
        std::string upstream; // of the last send
        std::optional<base::instant> first_event_at;
        base::instant last_event_at;
        base::duration longest_gap{0}; // between events

        bool in_time(base::instant first_event) const;
    };

    // What was found out about a request before it is decided on.
    struct request_properties {
        request_info origin;
        traffic::request_facts facts;
        base::workspace_id workspace;
        double cost = 0;
        telemetry::series_key series;
    };

    void accept();
    void on_request(const relay::caller_ptr& from, base::duration waited);
    void on_caller_left(const relay::caller_ptr& from);
    // The answer of a request that is not let in; else `out` is filled.
    std::optional<relay::own_answer> admit(const relay::request_head& head,
                                           base::duration waited,
                                           request_properties& out);
    void fill_facts(const routing::route& route,
                    const routing::workspace* owner,
                    base::duration waited,
                    request_properties& out);
    void refuse(const relay::caller_ptr& from,
                const std::string& attempt,
                const relay::own_answer& answer);
    std::shared_ptr<exchange> make_exchange(const relay::caller_ptr& from,
                                            request_info origin);
    void submit_event(const traffic::event& event);
    void process_pending_events();
    void log_send_report(base::request_id id, const send_outcome& report);
    void record_progress(const traffic::event& event);
    void mark_misdirected(base::upstream_id upstream);
    void handle_misdirection(const traffic::event& event);
    void execute(const traffic::actions& actions);
    void execute_action(const traffic::send_request& action);
    void execute_action(const traffic::cancel_send& action);
    void execute_action(const traffic::deliver_answer& action);
    void execute_action(const traffic::end_request& action);
    void execute_action(const traffic::check_upstream& action);
    void execute_action(const traffic::suspicion_changed& change);
    void execute_action(const quarantine::quarantine_state_change& change);
    void grant_slot(const traffic::send_request& action);
    void deny_slot(const traffic::end_request& action);
    void apply_member_changes(const dispatch::request_changes& news);
    routing::data_centre_constraint
    data_centre_constraint_of(const traffic::request_facts& facts) const;
    void add_member_request(base::request_id id,
                            const dispatch::slot_request& wanted);
    void count_waiting_requests();
    void refuse_waiting_request(base::request_id id,
                                base::duration retry_after);
    void log_over_limit(base::workspace_id workspace,
                        double cost,
                        std::uint32_t priority,
                        base::duration retry_after);
    // The request did not run: its workspace may use the cost for others.
    void refund_cost(const active_request& request);
    void finish(base::request_id id, const base::verdict* failed);
    relay::caller_bounds bounds() const;

    relay::asio::io_context& context;
    relay::tcp::acceptor acceptor;
    shared_state& state;
    relay::caller_events events;
    std::unordered_set<relay::caller_ptr> callers;
    std::unordered_map<base::request_id, active_request> requests;
    std::unordered_map<relay::caller_connection*, base::request_id> by_caller;
    std::unordered_map<base::request_id, base::upstream_id> sent_to;
    std::unordered_set<base::upstream_id> connect_checks; // just now
    dispatch::member_request_table members;
    dispatch::send_status_log journal;
    std::uint64_t next_request = 1;
    std::mt19937_64 random_engine;
    bool processing_events = false; // events told meanwhile wait in `backlog`
    std::vector<traffic::event> pending_events;
};

} // namespace greengagedrum::entry
