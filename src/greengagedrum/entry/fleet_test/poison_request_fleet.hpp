// A fleet of entries and upstreams of one service in virtual time, with a
// caller that repeats a poison request: a request that crashes each upstream
// that runs it. Each entry sends its own requests. The messages between a
// dispatcher and its members are simulated, the dispatching is not.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct poison_request_plan : fault_plan {
    std::size_t upstreams = 9;
    // Interval between poison requests.
    base::duration poison_interval = std::chrono::milliseconds(700);
    // Copies of the poison request, sent at once to random entries.
    std::size_t copies = 1;
    std::size_t bodies = 1;     // different poison bodies, sent in turn
    double requests = 40;       // ordinary requests a second, in total
    double same_body_share = 0; // of the ordinary requests, with the same body
    bool crashes = true; // false: poison requests are answered like any other
    // Interval at which all connections of one entry are reset; 0: never.
    base::duration connection_reset_interval{0};
    // Interval at which an upstream exits for another reason; 0: never.
    base::duration upstream_exit_interval{0};
};

struct poison_request_result {
    // Upstreams that began to run a poison request.
    std::uint32_t poison_runs = 0;
    std::uint32_t crashed = 0;   // upstreams that it crashed
    std::uint32_t late_runs = 0; // most runs of one body after its third crash
    std::uint32_t ordinary = 0;
    std::uint32_t answered = 0;               // of the ordinary requests
    std::uint32_t refused_as_quarantined = 0; // of the ordinary requests
    std::uint64_t bytes_per_second = 0;       // of the busiest entry
    std::size_t records = 0;                  // most crash records of any entry
};

class poison_request_fleet
{
public:
    explicit poison_request_fleet(const poison_request_plan& plan);

    poison_request_result simulate();

private:
    using node = virtual_fleet::node;

    struct run {
        std::size_t entry = 0;
        std::uint64_t process_id = 0;
        base::request_id request;
        std::uint32_t send = 0;
        std::optional<std::size_t> body; // set for a poison request
        base::instant ends_at;
    };

    struct upstream {
        std::uint64_t incarnation = 0;
        bool alive = true;
        base::instant back_at;
        std::vector<run> runs;
    };

    // The state that one entry process has in the simulation.
    struct process_state {
        std::uint64_t process_id = 0;
        base::instant started_at;
        dispatch::member_request_table book;
        // Poison requests and ordinary requests in progress.
        std::map<base::request_id, std::size_t> poison;
        std::set<base::request_id> ordinary;
    };

    struct body_record {
        std::uint32_t crashes = 0;
        base::instant third_at;
        std::uint32_t late_runs = 0;
    };

    virtual_fleet::hooks hooks();
    peer_events events_of(node& entry);
    void configure(node& one);
    void execute(node& at, const traffic::actions& actions);
    void submit_event(node& at, const traffic::event& event);
    void send(node& at, const traffic::send_request& action);
    void end(node& at, const traffic::end_request& action);
    bool is_alive(base::upstream_id id) const;
    void send_poison_requests();
    void send_ordinary_requests();
    void submit_request(std::size_t at, std::optional<std::size_t> body);
    void run_upstreams();
    void exit_upstream(upstream& one);
    void report_broken_run(const run& one);
    void reset_connections();
    routing::published_upstream published(std::size_t number) const;
    base::request_digest body_digest(std::uint64_t number) const;

    poison_request_plan plan;
    std::mt19937_64 random_engine;
    std::vector<process_state> processes; // by entry
    std::vector<upstream> upstreams;
    std::vector<body_record> bodies;
    virtual_fleet fleet;
    base::instant next_poison;
    base::instant next_reset;
    base::instant next_exit;
    std::uint64_t next_body = 0;
    std::uint64_t next_request = 1;
    std::uint64_t next_process = 1;
    std::uint64_t next_ordinary_body = 1'000'000;
    poison_request_result result;
};

} // namespace greengagedrum::entry::fleet_test
