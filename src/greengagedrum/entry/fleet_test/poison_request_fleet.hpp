// A fleet of entries before upstreams of one service, in virtual time, with a
// caller whose request ends each upstream that runs it and who sends it again
// and again. Each entry sends its own requests; where one entry of a data
// centre places for all, the messages between them are played, the placing is
// not.
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
    base::duration poison_interval =
        std::chrono::milliseconds(700); // between copies
    std::size_t copies = 1;     // of the request, at once at different entries
    std::size_t bodies = 1;     // different ones that crash upstreams, by turns
    double requests = 40;       // a second, of other callers, in all
    double same_body_share = 0; // of these, with one and the same body
    bool crashes = true;        // else the request is answered like any other
    // The connections of one entry are reset, so often.
    base::duration connection_reset_interval{0};
    // An upstream ends by itself, so often.
    base::duration upstream_exit_interval{0};
};

struct poison_request_result {
    std::uint32_t poison_runs = 0; // upstreams that began to run such a request
    std::uint32_t crashed = 0;     // upstreams that ended by it
    std::uint32_t late_runs =
        0;                      // runs of one body beyond its third crash, most
    std::uint32_t ordinary = 0; // requests of other callers
    std::uint32_t answered = 0; // of these
    std::uint32_t refused_as_quarantined = 0; // of these, refused for crashes
    std::uint64_t bytes_per_second = 0;       // a second, of the busiest entry
    std::size_t records = 0;                  // kept by one entry, most
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
        std::uint64_t process = 0;
        base::request_id request;
        std::uint32_t send = 0;
        std::optional<std::size_t> body; // of those that crash upstreams
        base::instant ends_at;
    };

    struct upstream {
        std::uint64_t incarnation = 0;
        bool alive = true;
        base::instant back_at;
        std::vector<run> runs;
    };

    // What one process has to do.
    struct process_state {
        std::uint64_t process = 0;
        base::instant started_at;
        dispatch::member_request_table book;
        // Requests under way that crash upstreams, and all others.
        std::map<base::request_id, std::size_t> poison;
        std::set<base::request_id> ordinary;
    };

    struct body_record {
        std::uint32_t crashes = 0;
        base::instant third_at;
        std::uint32_t late_runs = 0;
    };

    virtual_fleet::hooks hooks();
    peer_events events_of(node& of);
    void configure(node& one);
    void execute(node& at, const traffic::actions& orders);
    void submit_event(node& at, const traffic::event& what);
    void send(node& at, const traffic::send_request& order);
    void end(node& at, const traffic::end_request& order);
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
