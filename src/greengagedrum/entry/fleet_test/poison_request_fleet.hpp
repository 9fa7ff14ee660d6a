// A fleet of entries and upstreams in virtual time, with a caller that repeats
// a poison request: a request that crashes each upstream that runs it.
#pragma once

#include <greengagedrum/entry/fleet_test/upstream_crash_fleet.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct poison_request_plan : crash_fault_plan {
    // Interval between poison requests.
    base::duration poison_interval = std::chrono::milliseconds(700);
    // Copies of the poison request, sent at once to random entries.
    std::size_t copies = 1;
    std::size_t bodies = 1;     // different poison bodies, sent in turn
    double requests = 40;       // ordinary requests a second, in total
    double same_body_share = 0; // of the ordinary requests, with the same body
    bool crashes = true; // false: poison requests are answered like any other
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
    struct body_record {
        std::uint32_t crashes = 0;
        base::instant third_at;
        std::uint32_t late_runs = 0;
    };

    upstream_crash_fleet::hooks hooks();
    void start_run(upstream_crash_fleet::run& one);
    void record_crash(const upstream_crash_fleet::run& one);
    void send_poison_requests();
    void send_ordinary_requests();
    void submit_request(std::size_t at, std::optional<std::size_t> body);

    poison_request_plan plan;
    std::vector<body_record> bodies;
    // Poison requests, with their bodies, and ordinary requests in progress.
    std::map<base::request_id, std::size_t> poison;
    std::set<base::request_id> ordinary;
    upstream_crash_fleet fleet;
    base::instant next_poison;
    std::uint64_t next_body = 0;
    std::uint64_t next_ordinary_body = 1'000'000;
    poison_request_result result;
};

} // namespace greengagedrum::entry::fleet_test
