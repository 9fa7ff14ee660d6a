// A fleet of entries in several data centres with one limited workspace, in
// virtual time: the real messages between entries and the real limits, with
// requests that take a place at once. It counts what was let through, refused
// and sent between entries, as an operator would.
#pragma once

#include <greengagedrum/dispatch/member_desk.hpp>
#include <greengagedrum/entry/peer_link.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

// The address of the entry of number 0; the others follow.
inline constexpr gossip::ip_number first_address = 0x0a000001; // 10.0.0.1

struct fleet_plan {
    std::size_t entries = 86;
    std::size_t data_centres = 4;
    double seconds = 30;
    double demand = 0.55;          // of the limit's rate
    double requests = 100;         // a second, in all
    base::duration restart_gap{0}; // all entries restarted, one after the other
    double restarts_from = 12;     // seconds
    // The dispatchers of the data centres, killed or frozen for so long.
    std::vector<double> killed_at;
    std::vector<double> frozen_at;
    double frozen_for = 5;
    // All are killed at once, and are back half a second later.
    double all_killed_at = 1e9;
    // Half of the entries of the first data centre, its dispatcher with them.
    double cut_from = 1e9;
    double cut_for = 10;
    std::uint64_t seed = 1;
};

// Draws a plan with anything that may happen, but for a loss of all entries:
// what they knew is lost with them.
fleet_plan random_fleet_plan(std::uint64_t seed);

struct fleet_result {
    std::uint32_t asked = 0;
    std::uint32_t refused = 0; // over the limit
    std::uint32_t unanswered = 0;
    double let = 0;         // of what the limit allows in all that time
    double worst_share = 0; // of what a window may hold, the most that one held
    double worst_at = 0;    // seconds
    std::uint32_t dispatcher_changes = 0; // after the start of all entries
    std::uint64_t busiest_bytes = 0;      // of one entry, a second, on average
};

class limited_fleet
{
public:
    explicit limited_fleet(const fleet_plan& plan);
    ~limited_fleet();
    limited_fleet(const limited_fleet&) = delete;
    limited_fleet& operator=(const limited_fleet&) = delete;

    fleet_result play();

private:
    struct waiting_request {
        base::instant arrived;
        double cost = 0;
        bool counted = false;
    };

    // One process.
    struct node {
        explicit node(base::instant now);

        std::size_t number = 0;
        gossip::ip_number address = 0;
        shared_state state;
        dispatch::member_desk desk;
        std::unique_ptr<peer_link> link;
        std::map<std::uint64_t, waiting_request> requests;
        std::optional<base::instant> wakes_at;
        base::instant stopped_at;
        base::instant frozen_until;
        bool was_delegating = false;
    };

    struct datagram {
        base::instant arrives;
        gossip::ip_number from = 0;
        gossip::ip_number to = 0;
        std::string bytes;
    };

    void start(std::size_t number);
    settings settings_of(std::size_t number) const;
    peer_events events_of(node& of);
    double limit() const; // a second; its burst is as much
    void configure(node& one) const;
    double seconds() const;
    double draw();
    void
    send(gossip::ip_number from, gossip::ip_number to, std::string_view bytes);
    bool is_cut(gossip::ip_number from, gossip::ip_number to) const;
    void deliver();
    void restart_due();
    void trouble_due();
    void ask();
    void arrive(node& at, double cost);
    void
    reported(node& dispatcher, base::slot_id member, const gossip::word& told);
    void replied(node& member, const dispatch::dispatcher_reply& what);
    void
    place_alone(node& one, std::size_t unheard, const handed_limits* known);
    dispatch::member_report report_of(const node& member) const;
    void let_through(double cost);
    void step(node& one);
    void judge();

    fleet_plan plan;
    std::mt19937_64 dice;
    base::instant begun;
    base::instant now;
    std::vector<std::unique_ptr<node>> nodes; // null: it is down
    std::vector<base::instant> back_at;       // of those that are down
    std::deque<datagram> near;
    std::deque<datagram> far;
    std::deque<std::pair<base::instant, double>> let;
    std::vector<std::uint64_t> sent_bytes; // by entry
    std::size_t next_restart = 0;
    std::size_t next_killed = 0;
    std::size_t next_frozen = 0;
    bool all_killed = false;
    std::uint64_t next_life = 1;
    std::uint64_t next_request = 1;
    fleet_result result;
};

} // namespace greengagedrum::entry::fleet_test
