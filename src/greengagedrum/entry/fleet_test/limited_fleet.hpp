// A fleet of entries in several data centres with one limited workspace, in
// virtual time: the real messages between entries and the real limits, with
// requests that take a place at once. It counts what was let through, refused
// and sent between entries, as an operator would.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct fleet_plan : fault_plan {
    double demand = 0.55;  // of the limit's rate
    double requests = 100; // a second, in all
};

// Draws a plan with anything that may happen, but for a loss of all entries:
// what they knew is lost with them.
fleet_plan random_fleet_plan(std::uint64_t seed);

struct fleet_result {
    std::uint32_t asked = 0;
    std::uint32_t refused = 0; // over the limit
    std::uint32_t unanswered = 0;
    double admitted_share = 0; // of what the limit allows in all that time
    double peak_window_share =
        0;              // of what a window may hold, the most that one held
    double peak_at = 0; // seconds
    // Of the limit, kept at the end for entries that are not heard, the most at
    // one entry.
    double reserved_for_absent = 0;
    std::uint32_t dispatcher_changes = 0; // after the start of all entries
    std::uint64_t busiest_bytes = 0;      // of one entry, a second, on average
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

    // What one process has to do.
    struct process_state {
        dispatch::member_request_table book;
        std::map<std::uint64_t, waiting_request> requests;
        bool was_delegating = false;
    };

    process_state& state_of(const node& one)
    {
        return this->processes[one.number];
    }
    virtual_fleet::hooks hooks();
    peer_events events_of(node& process);
    double limit() const; // a second; its burst is as much
    void configure(node& one);
    double draw();
    void generate_requests();
    void on_request(node& at, double cost);
    void on_report(node& dispatcher,
                   base::slot_id member,
                   const gossip::message& told);
    void on_reply(node& member, const dispatch::dispatcher_reply& what);
    void
    dispatch_alone(node& one, std::size_t unheard, const limit_handover* known);
    dispatch::member_report make_report(const node& member);
    void admit(double cost);
    void count_changes(const node& one);
    void check_window();

    fleet_plan plan;
    std::mt19937_64 dice;
    std::vector<process_state> processes; // by entry
    virtual_fleet fleet;
    std::deque<std::pair<base::instant, double>> admitted;
    std::uint64_t next_request = 1;
    fleet_result result;
};

} // namespace greengagedrum::entry::fleet_test
