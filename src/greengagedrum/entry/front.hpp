// Takes callers' requests, has them decided, and carries the decisions out.
#pragma once

#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/dispatch/send_status_log.hpp>
#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/entry/decision_log.hpp>
#include <greengagedrum/entry/exchange.hpp>
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
    cluster_state known;
    quota::usage_limiter limiter;
    traffic::scheduler scheduler;
    decision_log log;
    telemetry::registry metrics;
    bool stopping = false;
    // Another entry places this one's requests and counts them against their
    // limits.
    bool delegating = false;
    routing::region_map regions{};
};

// What a dispatcher knows of limits, as it tells the entries next in line.
struct handed_limits {
    base::slot_id from;
    base::incarnation life;
    std::vector<quota::workspace_use> uses;
    bool stopping = false; // it has none but its own requests from then on
    base::instant told_at;
};

class front
{
public:
    front(relay::asio::io_context& context,
          const base::ip_endpoint& address,
          shared_state& state);

    // Something was learnt, or time has passed.
    void tick();
    // Places may be free for what waits.
    void place();

    void upstreams_changed(const cluster_changes& changes);

    // Answers say that their connections close from now on.
    void begin_stop();
    // Takes no further connections, and closes those that are idle.
    void stop_accepting();

    // Where it listens, also when it was given any port.
    base::ip_endpoint address() const;

    std::size_t in_flight() const { return this->requests.size(); }
    std::size_t callers_open() const { return this->callers.size(); }

    // Told when the places taken on upstreams have changed, or what waits for
    // them.
    std::function<void()> uses_changed = [] {};

    // ---- Where one entry of a data centre places for all --------------------

    // Another entry places from now on, or this one does again; of so many
    // others it can't hear what they let through. `known`, if there is any, is
    // what the one that placed knew of limits.
    void delegate();
    void place_alone(std::size_t unheard, const handed_limits* known);
    // To whoever places, and what it replied.
    dispatch::member_report report_to_dispatcher() const;
    void replied(const dispatch::dispatcher_reply& what);

    // What a member reported, and that it is gone.
    void member_reported(base::slot_id member,
                         base::incarnation life,
                         const dispatch::member_report& told,
                         std::span<const traffic::upstream_use> uses);
    void member_lost(base::slot_id member);
    dispatch::member_request_table& book() { return this->members; }

private:
    struct accepted {
        std::shared_ptr<exchange> wire;
        base::instant arrived;
        base::instant end_at;
        base::workspace_id workspace;
        base::request_digest digest;
        double cost = 0; // counted against its workspace's limit
        std::uint32_t priority = 0;
        bool counted = true; // here, and not where it is placed
        telemetry::series_key series;
        base::duration objective{0};
        base::duration gap_objective{0}; // between events; 0: none
        std::optional<base::instant> sent_at;
        base::instant last_sent_at;
        std::string upstream; // of the last send
        std::optional<base::instant> first_event_at;
        base::instant last_event_at;
        base::duration longest_gap{0}; // between events

        bool in_time(base::instant first) const;
    };

    // What was found out about a request before it is decided on.
    struct admitted {
        request_origin origin;
        traffic::request_facts facts;
        base::workspace_id workspace;
        double cost = 0;
        telemetry::series_key series;
    };

    void accept();
    void on_request(const relay::caller_ptr& from, base::duration waited);
    void on_left(const relay::caller_ptr& from);
    // The answer of a request that is not let in; else `out` is filled.
    std::optional<relay::own_answer> admit(const relay::request_head& head,
                                           base::duration waited,
                                           admitted& out);
    void fill_facts(const routing::route& route,
                    const routing::workspace* owner,
                    base::duration waited,
                    admitted& out);
    void refuse(const relay::caller_ptr& from,
                const std::string& attempt,
                const relay::own_answer& what);
    std::shared_ptr<exchange> make_exchange(const relay::caller_ptr& from,
                                            request_origin origin);
    void told(const traffic::event& what);
    void decide_backlog();
    void reported(base::request_id id, const send_report& what);
    void note_progress(const traffic::event& what);
    void misdirected(base::upstream_id upstream);
    void note_misdirection(const traffic::event& what);
    void carry_out(const traffic::actions& orders);
    void carry_out_one(const traffic::send_request& order);
    void carry_out_one(const traffic::stop_send& order);
    void carry_out_one(const traffic::deliver_answer& order);
    void carry_out_one(const traffic::end_request& order);
    void carry_out_one(const traffic::check_upstream& order);
    void carry_out_one(const traffic::trust_changed& change);
    void carry_out_one(const quarantine::standing_change& change);
    void grant(const traffic::send_request& order);
    void decline(const traffic::end_request& order);
    void take(const dispatch::request_changes& news);
    routing::homes homes_of(const traffic::request_facts& facts) const;
    void arrived_at_member(base::request_id id,
                           const dispatch::slot_request& wanted);
    void count_waiting();
    void refuse_waiting(base::request_id id, base::duration retry_after);
    void note_over_limit(base::workspace_id workspace,
                         double cost,
                         std::uint32_t priority,
                         base::duration retry_after);
    // The request did not run: its workspace may use the cost for others.
    void return_cost(const accepted& request);
    void finish(base::request_id id, const base::verdict* failed);
    relay::caller_bounds bounds() const;

    relay::asio::io_context& context;
    relay::tcp::acceptor acceptor;
    shared_state& state;
    relay::caller_events events;
    std::unordered_set<relay::caller_ptr> callers;
    std::unordered_map<base::request_id, accepted> requests;
    std::unordered_map<relay::caller_connection*, base::request_id> by_caller;
    std::unordered_map<base::request_id, base::upstream_id> sent_to;
    std::unordered_set<base::upstream_id> checked; // just now
    dispatch::member_request_table members;
    dispatch::send_status_log journal;
    std::uint64_t next_request = 1;
    std::mt19937_64 dice;
    bool working = false; // events told meanwhile wait in `backlog`
    std::vector<traffic::event> backlog;
};

} // namespace greengagedrum::entry
