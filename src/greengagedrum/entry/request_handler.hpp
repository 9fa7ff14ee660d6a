// Accepts callers' requests, submits them to the scheduler and executes the
// actions that the scheduler returns.
#pragma once

#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/dispatch/send_status_log.hpp>
#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/entry/descriptor_shares.hpp>
#include <greengagedrum/entry/exchange.hpp>
#include <greengagedrum/entry/rate_limited_log.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/quota/usage_limiter.hpp>
#include <greengagedrum/relay/bounded_acceptor.hpp>
#include <greengagedrum/relay/caller_connection.hpp>
#include <greengagedrum/shutdown/stop_schedule.hpp>
#include <greengagedrum/telemetry/registry.hpp>
#include <greengagedrum/traffic/scheduler.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <gsl/util>

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace greengagedrum::entry
{

// State shared by the parts of an entry, which all run on its event loop.
struct shared_state {
    std::function<base::instant()> clock;
    cluster_state cluster;
    quota::usage_limiter limiter;
    traffic::scheduler scheduler;
    rate_limited_log log;
    telemetry::registry metrics;
    bool stopping = false;
    // True while another entry, the dispatcher, dispatches this entry's
    // requests and counts them against the workspaces' limits.
    bool delegating = false;
    routing::region_map regions{};
    // Null: the memory of the process is not limited.
    std::shared_ptr<memory::account> memory{};
    // Idle connections to upstreams that are kept; 0: none.
    std::size_t kept_connections_max = 0;
    descriptor_shares descriptors{};
};

// The limit state that a dispatcher hands over to the entries next in line for
// its role.
struct limit_handover {
    base::slot_id sender;
    base::incarnation incarnation;
    std::vector<quota::workspace_usage> usage;
    bool sender_stopping = false; // it then serves only its own requests
    base::instant received_at;
};

class stream_versions;

class request_handler
{
public:
    request_handler(relay::asio::io_context& context,
                    shared_state& state,
                    peer_paths& paths,
                    stream_versions& versions);

    // Accepts callers from now on. Throws boost::system::system_error if the
    // address can't be had.
    void listen(const base::ip_endpoint& address);

    // Called when state has changed and at regular intervals.
    void tick();
    // Called when slots may have become free for queued requests.
    void dispatch_queued_requests();

    void apply_upstream_changes(const cluster_changes& changes);

    // From now on responses announce that their connections close. Requests
    // that may not end in time are refused, and after a while all.
    void begin_stop(const shutdown::stop_schedule& schedule);
    // The schedule of the stop has changed.
    void set_stop_schedule(const shutdown::stop_schedule& schedule);
    // Stops accepting connections.
    void stop_accepting();
    // Closes connections without a request, for which nothing more is done.
    void close_idle_connections();
    // Gives every request its final response.
    void end_all();
    // Refuses requests that are read in part.
    void refuse_unread_requests();
    // Resets connections of which the end would make a cut response look whole.
    void abort_unframed_responses();

    // The number of entries, which all may keep connections to one upstream.
    void set_entry_count(std::size_t count) { this->entry_count = count; }
    const relay::kept_totals& connection_totals() const
    {
        return this->kept.totals();
    }
    std::size_t kept_connection_count() const { return this->kept.size(); }

    // The listening address, with the actual port if it was configured as 0.
    base::ip_endpoint address() const { return this->acceptor.address(); }

    std::size_t in_flight() const { return this->requests.size(); }
    std::size_t open_connections() const { return this->callers.size(); }
    // Requests whose callers have left, and which run to their end.
    std::size_t abandoned_running() const;

    // Called when the slots taken on upstreams or the queued requests have
    // changed.
    std::function<void()> on_load_changed = [] {};

    // Switch between delegating dispatching to another entry and dispatching in
    // this one. `unheard`: how many other entries may admit requests of which
    // this entry gets no reports. `handover`: the limit state received from the
    // former dispatcher, or null.
    void start_delegating();
    void stop_delegating(std::size_t unheard, const limit_handover* handover);
    // The report for the dispatcher, and the handling of its reply.
    dispatch::member_report make_member_report() const;
    void on_dispatcher_reply(const dispatch::dispatcher_reply& reply);

    // Called on the dispatcher when a member has reported or has been lost.
    void on_member_report(base::slot_id member,
                          base::incarnation incarnation,
                          const dispatch::member_report& report,
                          std::span<const traffic::upstream_load> loads);
    void on_member_lost(base::slot_id member);
    dispatch::member_request_table& member_requests() { return this->members; }

private:
    struct active_request {
        std::shared_ptr<exchange> http_exchange;
        base::instant arrived;
        base::instant end_at;
        base::workspace_id workspace;
        base::upstream_class_id service; // that the request's route led to
        base::request_digest digest;
        double cost = 0; // counted against the workspace's limit
        std::uint32_t priority = 0;
        bool counted_here = true; // false: by the dispatcher
        telemetry::series_key series;
        base::duration objective{0};
        base::duration gap_objective{0}; // between events; 0: none
        std::optional<base::instant> sent_at;
        base::instant last_sent_at;
        std::string upstream; // the last one sent to
        std::optional<base::instant> first_event_at;
        base::version_id version;  // that began the stream; empty: none yet
        base::instant recorded_at; // the version, at other entries
        base::instant last_event_at;
        base::duration longest_gap{0}; // between events

        bool in_time(base::instant first_event) const;
    };

    // A request's properties, collected before it is submitted to the
    // scheduler.
    struct request_properties {
        request_info info;
        traffic::request_facts facts;
        base::workspace_id workspace;
        double cost = 0;
        telemetry::series_key series;
    };

    // New events wait until the result is destroyed.
    auto begin_processing()
    {
        this->processing_events = true;
        return gsl::finally([this] { this->processing_events = false; });
    }
    bool takes_requests() const;
    bool may_send(const active_request& request,
                  const routing::published_upstream& to) const;
    relay::acceptor_events make_acceptor_events();
    void add_caller(relay::tcp::socket socket);
    void log_shortage(std::string_view event, const std::string& why);
    void serve(const relay::caller_ptr& from, base::duration waited);
    void on_request(const relay::caller_ptr& from, base::duration waited);
    void on_caller_left(const relay::caller_ptr& from);
    void keep_abandoned(const std::shared_ptr<exchange>& running);
    // Returns the error response for a request that is not admitted; otherwise
    // fills `out`.
    std::optional<relay::own_answer> admit(const relay::request_head& head,
                                           base::duration waited,
                                           request_properties& out);
    void fill_facts(const routing::route& route,
                    const routing::workspace* owner,
                    base::duration waited,
                    request_properties& out);
    static relay::own_answer refusal_while_stopping();
    void refuse(const relay::caller_ptr& from,
                const std::string& attempt,
                const relay::own_answer& answer);
    std::shared_ptr<exchange> make_exchange(const relay::caller_ptr& from,
                                            request_info info);
    static const std::string& first_attempt_of(const request_info& info);
    // Submits the request to the scheduler: one that takes up a stream once the
    // version that began it is known.
    void submit_arrival(base::request_id id,
                        const traffic::request_facts& facts);
    void on_version_found(base::request_id id,
                          traffic::request_facts facts,
                          base::instant lookup_begun,
                          const versions::finding& found);
    void submit_event(const traffic::event& event);
    void process_pending_events();
    void log_send_outcome(base::request_id id, const send_outcome& outcome);
    void record_progress(const traffic::event& event);
    void mark_misdirected(base::upstream_id upstream);
    bool may_keep_connection(const routing::published_upstream& to) const;
    void close_outdated_connections(const cluster_changes& changes);
    void update_kept_upstreams();
    void handle_misdirection(const traffic::event& event);
    void execute(const traffic::actions& actions);
    void execute_action(const traffic::send_request& action);
    void execute_action(const traffic::cancel_send& action);
    void execute_action(const traffic::deliver_answer& action);
    void execute_action(const traffic::end_request& action);
    void execute_action(const traffic::check_upstream& action);
    void execute_action(const traffic::suspicion_changed& change);
    void execute_action(const traffic::rate_limit_changed& change);
    void execute_action(const quarantine::quarantine_state_change& change);
    void execute_action(const traffic::stream_bound& action);
    void grant_slot(const traffic::send_request& action);
    void deny_slot(const traffic::end_request& action);
    void apply_member_changes(const dispatch::request_changes& changes);
    routing::data_centre_constraint
    data_centre_constraint_of(const traffic::request_facts& facts) const;
    void add_member_request(base::request_id id,
                            const dispatch::slot_request& request);
    void charge_queued_requests();
    void check_paths();
    void renew_version_records();
    void refuse_queued_request(base::request_id id,
                               base::reason why,
                               base::duration retry_after);
    void log_over_limit(base::workspace_id workspace,
                        double cost,
                        std::uint32_t priority,
                        base::duration retry_after);
    // Refunds the cost of a request that did not run.
    void refund_cost(const active_request& request);
    void report_missing_version(const exchange& http_exchange,
                                base::version_id version);
    void finish(base::request_id id, const base::verdict* failed);
    relay::caller_bounds bounds() const;

    // Only where the memory of the process is limited.
    void limit_memory();
    relay::body_class classify(const relay::request_head& head) const;
    void keep_to_memory();
    void reject_for_memory();
    void end_unread_responses();
    void end_response(const relay::caller_ptr& to,
                      const memory::unread_response& unread);
    void retry_bodies();
    void log_rejected(const std::string& request,
                      std::uint32_t priority,
                      std::uint64_t bytes,
                      std::string_view why,
                      base::duration retry_after);

    // Of a caller that states no deadline.
    static constexpr base::duration default_time_left =
        std::chrono::seconds(30);

    relay::asio::io_context& context;
    relay::bounded_acceptor acceptor;
    shared_state& state;
    peer_paths& paths;
    stream_versions& versions;
    relay::kept_connections kept;
    std::size_t entry_count = 1;
    relay::caller_events events;
    std::unordered_set<relay::caller_ptr> callers;
    std::unordered_map<base::request_id, active_request> requests;
    std::unordered_map<relay::caller_connection*, base::request_id> by_caller;
    std::vector<std::weak_ptr<exchange>> abandoned;
    std::unordered_map<base::request_id, base::upstream_id> sent_to;
    std::unordered_set<base::upstream_id> connect_checks; // in progress
    dispatch::member_request_table members;
    dispatch::send_status_log send_statuses;
    std::uint64_t next_request = 1;
    std::size_t next_path_check = 0;
    base::instant memory_checked_at;
    std::optional<shutdown::stop_schedule> stop; // from its signal on
    bool processing_events = false; // new events go to pending_events
    std::size_t waiting_before = 0; // when actions were executed last
    std::vector<traffic::event> pending_events;
};

} // namespace greengagedrum::entry
