// A fleet of entries in virtual time with one upstream per data centre, which
// announces a rate limit in its responses for a while. Each entry has more
// requests than that. In a large fleet, a dispatcher's requests are sent by one
// of its members, which alone reads the response.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct announced_limit_plan : fault_plan {
    double per_second = 2; // requests
    // Seconds from the start at which the upstreams begin and cease to announce
    // their limit.
    double announced_from = 6;
    double announced_until = 20;
};

struct announced_limit_result {
    // The most requests to one upstream within four seconds, three seconds or
    // more after it first announced its limit. Only those of processes that had
    // read the limit half a second before.
    std::uint32_t most_in_window = 0;
    std::uint32_t limited_sends = 0; // while the limit was in force, in total
    std::uint32_t later_sends = 0;   // from three seconds after its end
};

class announced_limit_fleet
{
public:
    explicit announced_limit_fleet(const announced_limit_plan& plan);

    announced_limit_result simulate();

private:
    using node = virtual_fleet::node;

    struct run {
        std::size_t entry = 0; // that chose the upstream
        base::incarnation incarnation;
        std::size_t reader = 0; // that sends the request
        base::incarnation reader_incarnation;
        base::request_id request;
        std::uint32_t send = 0;
        base::upstream_id upstream;
        base::instant ends_at;
    };

    virtual_fleet::hooks hooks();
    peer_events events_of(node& entry);
    void configure(node& one);
    void submit_request(node& one);
    std::size_t choose_reader(const node& one);
    void send(node& one, const traffic::send_request& action);
    void record_send(const run& sent);
    void answer_due_runs();
    void answer(const run& ended);
    bool announces() const;
    routing::published_upstream published(std::size_t data_centre) const;

    announced_limit_plan plan;
    std::mt19937_64 random_engine;
    std::vector<dispatch::member_request_table> books; // by entry
    std::deque<run> runs;
    // When a process first read a limit, by incarnation.
    std::map<base::incarnation, base::instant> told_at;
    std::map<base::upstream_id, std::deque<base::instant>> recent_sends;
    virtual_fleet fleet;
    std::uint64_t next_request = 1;
    announced_limit_result result;
};

} // namespace greengagedrum::entry::fleet_test
