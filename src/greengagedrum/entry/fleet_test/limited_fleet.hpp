// A simulated fleet with one rate-limited workspace, in virtual time. Messages
// between entries and limits are the real ones; a granted request takes its
// slot at once. The run counts admitted and refused requests, and the bytes
// sent between entries.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct fleet_plan : fault_plan {
    double demand = 0.55;  // share of the limit's rate
    double requests = 100; // per second, all entries
    // Upstreams, each with one running request of each entry that dispatches.
    std::size_t upstreams = 0;
};

// Draws a random plan with any fault except the loss of all entries, because
// their knowledge of the usage is lost with them.
fleet_plan random_fleet_plan(std::uint64_t seed);

struct fleet_result {
    std::uint32_t asked = 0;
    std::uint32_t refused = 0; // over the limit
    std::uint32_t unanswered = 0;
    // Share of what the limit allows in the whole run.
    double admitted_share = 0;
    // The highest usage of a window, as a share of its bound, and its time in
    // seconds.
    double peak_window_share = 0;
    double peak_at = 0;
    // The largest share of the limit that any entry still reserves for absent
    // entries at the end of the run.
    double reserved_for_absent = 0;
    std::uint32_t dispatcher_changes = 0; // after the first two seconds
    std::uint64_t busiest_bytes = 0;      // of one entry, per second on average
    // Over the whole run: datagrams between regions, and gossip as the entries
    // count it.
    std::uint64_t bytes_across_regions = 0;
    std::uint64_t counted_gossip_bytes = 0;
};

class limited_fleet
{
public:
    explicit limited_fleet(const fleet_plan& plan);

    fleet_result run();

private:
    using node = virtual_fleet::node;

    struct waiting_request {
        base::instant arrived;
        double cost = 0;
        bool counted = false;
    };

    // The requests and grants of one entry.
    struct process_state {
        dispatch::member_request_table member_requests;
        std::map<std::uint64_t, waiting_request> requests;
        bool was_delegating = false;
    };

    process_state& state_of(const node& one)
    {
        return this->processes[one.number];
    }
    virtual_fleet::hooks hooks();
    peer_events events_of(node& process);
    double limit() const; // per second; the burst is as large
    void configure(node& one);
    void occupy_upstreams(node& one) const;
    double draw();
    void generate_requests();
    void on_request(node& at, double cost);
    void on_report(node& dispatcher,
                   base::slot_id member,
                   const gossip::message& received);
    void on_reply(node& member, const dispatch::dispatcher_reply& reply);
    void
    dispatch_alone(node& one, std::size_t unheard, const limit_handover* known);
    dispatch::member_report make_report(const node& member);
    void admit(double cost);
    void count_changes(const node& one);
    void check_window();

    fleet_plan plan;
    std::mt19937_64 dice;
    std::vector<process_state> processes; // by entry number
    virtual_fleet fleet;
    std::deque<std::pair<base::instant, double>> admitted;
    std::uint64_t next_request = 1;
    fleet_result result;
};

} // namespace greengagedrum::entry::fleet_test
