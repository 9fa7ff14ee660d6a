// A fleet of entries and upstreams in virtual time, in front of which most new
// connections of one data centre or region go to a single entry for some
// seconds. The total rate of requests stays the same. Members delegate their
// requests to a dispatcher, as request_handler does.
#pragma once

#include <greengagedrum/dispatch/send_status_log.hpp>
#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

inline constexpr std::uint32_t slots_of_upstream = 5;

base::upstream_class_id service_name(std::size_t number);

struct connection_skew_plan : fault_plan {
    std::size_t upstreams = 8;
    // Of the upstreams' slots or, if they announce limits, of these.
    double load = 0.5;
    double limit_per_second = 0; // announced by each upstream; 0: none
    bool whole_region = false;   // or the first data centre only
    bool favours_dispatcher = false;
    // Seconds from the start.
    double favoured_leaves_at = 1e9;
    double dispatcher_restarts_at = 1e9;
    // Equally many upstreams and requests are of each service.
    std::size_t services = 1;
    // Times, in seconds, at which that share of the members is killed, and how
    // long they are down.
    std::vector<double> members_killed_at;
    double killed_share = 0.5;
    base::duration down_for = std::chrono::milliseconds(500);
};

// First attempts of requests of the callers that the skew affects.
struct served_share {
    std::uint32_t read = 0; // by an entry
    std::uint32_t served = 0;
    std::uint32_t in_time = 0; // of them, within their objective

    double value() const
    {
        return this->read == 0 ? 0
                               : static_cast<double>(this->served) /
                                     static_cast<double>(this->read);
    }
};

struct connection_skew_result {
    served_share before;
    served_share during; // from the end of the stability window on
    std::uint32_t most_per_second = 0; // requests that one entry read
    std::uint32_t most_in_window = 0;  // to one upstream within four seconds
    std::uint32_t sends = 0;
    std::uint32_t sends_to_other_service = 0;
    std::uint64_t bytes_per_second = 0; // of the busiest entry
    std::size_t largest_datagram = 0;

    double ratio() const { return this->during.value() / this->before.value(); }
};

class connection_skew_fleet
{
public:
    explicit connection_skew_fleet(const connection_skew_plan& plan);

    connection_skew_result simulate();

private:
    using node = virtual_fleet::node;

    struct caller {
        base::instant arrived; // at its first attempt
        // Counts the first attempt; null: not counted.
        served_share* counted_in = nullptr;
        std::uint32_t attempts = 1;
        base::upstream_class_id service = service_name(0);
    };

    // The numbers of requests are unique within one process.
    struct caller_key {
        std::uint64_t process_id = 0;
        base::request_id request;

        auto operator<=>(const caller_key&) const = default;
    };

    // A request whose caller comes back after a refusal.
    struct retry {
        caller from;
        std::size_t refused_by = 0;
    };

    // One send of a request, at the upstream that it reached.
    struct run {
        std::size_t entry = 0;
        std::uint64_t process_id = 0;
        base::request_id request;
        std::uint32_t send = 0;
        bool started = false; // has a slot
        std::uint32_t events = 0;
        base::instant next_event_at;
        base::instant ends_at;
    };

    struct process_state {
        std::uint64_t process_id = 0;
        std::uint64_t next_request = 1;
        dispatch::member_request_table members;
        dispatch::send_status_log statuses;
        std::size_t waiting_before = 0;
        std::deque<base::instant> recently_read;
    };

    virtual_fleet::hooks hooks();
    peer_events events_of(node& one);
    void configure(node& one);
    routing::published_upstream published(std::size_t number) const;
    double requests_per_second() const;

    void submit_event(node& at, const traffic::event& event);
    void execute(node& at, const traffic::actions& actions);
    void execute_action(node& at, const traffic::send_request& action);
    void execute_action(node& at, const traffic::cancel_send& action);
    void execute_action(node& at, const traffic::deliver_answer& action);
    void execute_action(node& at, const traffic::end_request& action);
    void execute_action(node& at, const traffic::check_upstream& action);
    template <class Other>
    void execute_action(node&, const Other&)
    {
    }

    dispatch::member_report make_report(node& member);
    void
    on_report(node& at, base::slot_id member, const gossip::message& received);
    void on_reply(node& member, const dispatch::dispatcher_reply& reply);
    void apply(node& at, const dispatch::request_changes& changes);

    void advance_upstreams();
    void advance(std::size_t number, run& one);
    void report(const run& one, const traffic::event& event);
    void record_send(std::size_t upstream);

    bool is_affected(std::size_t entry) const;
    bool is_skewed() const;
    std::size_t choose_favoured();
    std::size_t choose_entry(std::size_t home);
    std::size_t next_serving(std::size_t from, bool affected_only);
    void generate_requests();
    void send_retries();
    void submit(std::size_t entry, const caller& from);
    void inject_faults();
    void kill_members();
    caller_key key_of(const node& at, base::request_id request) const;
    served_share* share_now();
    double draw(); // from 0 to 1

    connection_skew_plan plan;
    std::mt19937_64 random_engine;
    std::vector<process_state> processes;  // by entry
    std::vector<std::vector<run>> running; // by upstream, in order of arrival
    std::vector<std::deque<base::instant>> recent_sends; // by upstream
    std::map<base::upstream_id, std::size_t> upstream_numbers;
    std::map<caller_key, caller> callers; // of requests in progress
    std::multimap<base::instant, retry> retries;
    virtual_fleet fleet;
    std::size_t favoured = 0;
    bool favoured_left = false;
    bool dispatcher_restarted = false;
    std::size_t next_member_kill = 0;
    std::uint64_t next_process = 1;
    connection_skew_result result;
};

} // namespace greengagedrum::entry::fleet_test
