// A simulated fleet of entries in several data centres, in virtual time. The
// messages between entries are the real ones, over a simulated network with
// latency, datagram loss and partitions; entries are stopped, killed, frozen
// and restarted. The owner provides what the entries do, through hooks.
#pragma once

#include <greengagedrum/dispatch/member_request_table.hpp>
#include <greengagedrum/entry/fleet_test/simulated_links.hpp>
#include <greengagedrum/entry/fleet_test/strong_entry_faults.hpp>
#include <greengagedrum/entry/peer_protocol.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

// Address of entry 0; the other entries have the following addresses.
inline constexpr gossip::ipv4_address first_address = 0x0a000001; // 10.0.0.1

struct fault_plan {
    std::size_t entries = 86;
    std::size_t data_centres = 4;
    double seconds = 30;
    base::duration restart_gap{0}; // between rolling restarts; 0: none
    double restarts_from = 12;     // seconds
    // Times, in seconds, at which all dispatchers are killed or frozen, and the
    // length of a freeze.
    std::vector<double> killed_at;
    std::vector<double> frozen_at;
    double frozen_for = 5;
    // All entries are killed at once, and are restarted 600 ms later.
    double all_killed_at = 1e9;
    // Network partition: half of the entries of the first data centre, with its
    // dispatcher, are separated from all others.
    double cut_from = 1e9;
    double cut_for = 10;
    // All but the first `remaining_entries` are removed for good.
    double shrinks_at = 1e9;
    std::size_t remaining_entries = 0;
    // Data centre N is in region N modulo this number; the store is in region
    // 0.
    std::size_t regions = 1;
    bool regions_in_settings = true; // or the entries don't know of them
    // Of the link between two regions, in each direction.
    double region_bytes_per_second = 7.5e6;
    // The regions are partitioned from each other.
    double regions_apart_from = 1e9;
    double regions_apart_for = 8;
    double lost_share = 0;                 // share of all datagrams
    double link_bytes_per_second = 1.25e6; // of each entry, for transfers
    strong_entry_plan strong_entries;
    std::uint64_t seed = 1;
};

class virtual_fleet
{
public:
    // One process of an entry.
    struct node {
        explicit node(base::instant now);

        std::size_t number = 0;
        gossip::ipv4_address address = 0;
        base::incarnation incarnation;
        shared_state state;
        std::unique_ptr<peer_protocol> protocol;
        std::optional<base::instant> timer_due_at;
        base::instant stopped_at;
        base::instant frozen_until;
    };

    struct hooks {
        // Configures the state of a process that starts, and makes the
        // callbacks for its peer_protocol.
        std::function<void(node&)> configure;
        std::function<peer_events(node&)> events;
        std::function<void(node&)> after_step = [](node&) {};
        // The answer to an entry's query for items; empty: none is simulated.
        std::function<std::string(node&, const item_query&)> answer_query;
        std::function<bool(const node&)> store_fails = [](const node&) {
            return false;
        };
        // Called before the process stops.
        std::function<void(node&)> before_stop = [](node&) {};
    };

    virtual_fleet(const fault_plan& plan, hooks owner);
    ~virtual_fleet();
    virtual_fleet(const virtual_fleet&) = delete;
    virtual_fleet& operator=(const virtual_fleet&) = delete;

    void start();
    // Advances virtual time by 5 ms.
    void step();
    // Stops the entry's process, if it runs, as at a restart.
    void begin_stop(std::size_t number);
    // Kills the entry's process; another one starts after that time.
    void kill(std::size_t number, base::duration down_for);

    std::size_t size() const { return this->nodes.size(); }
    // Null while the entry is down.
    node* at(std::size_t number) { return this->nodes[number].get(); }
    // Null also while the load balancer sends the entry no requests: while it
    // stops or is frozen.
    node* serving(std::size_t number);
    base::instant time() const { return this->now; }
    // Transfers from the store to entries share links with those of peers.
    simulated_links& transfers() { return this->links; }
    std::uint64_t failed_fetches() const { return this->failures; }
    // The bounds in the settings of each entry.
    static bounds entry_bounds() { return {}; }
    const strong_entry_faults& faults_of_strong() const
    {
        return this->strong_faults;
    }
    double seconds() const;
    // Sent by the busiest entry over the whole run.
    std::uint64_t busiest_bytes() const;
    std::size_t largest_datagram() const { return this->largest_sent; }
    // Sent to other regions over the whole run, in datagrams and transfers.
    std::uint64_t bytes_between_regions() const;
    std::size_t region_of(gossip::ipv4_address address) const;
    // On the smaller side of the network partition of the plan.
    bool is_behind_partition(std::size_t number) const
    {
        return number % this->plan.data_centres == 0 &&
               number < this->plan.entries / 2;
    }

private:
    struct datagram {
        base::instant arrives;
        gossip::ipv4_address from = 0;
        gossip::ipv4_address to = 0;
        std::string bytes;
    };

    void start(std::size_t number);
    settings settings_of(std::size_t number) const;
    peer_transport transport_of(node& one);
    void fetch(const node& asking,
               const base::ip_endpoint& of,
               const std::string& target,
               const relay::answer_limits& limits,
               relay::http_get::answer on_answer);
    void send(gossip::ipv4_address from,
              gossip::ipv4_address to,
              std::string_view bytes);
    std::deque<datagram>& queue_of(gossip::ipv4_address from,
                                   gossip::ipv4_address to);
    base::duration latency(gossip::ipv4_address from,
                           gossip::ipv4_address to) const;
    bool is_partitioned(gossip::ipv4_address from,
                        gossip::ipv4_address to) const;
    void deliver();
    void deliver(const datagram& one);
    void stop_process(std::size_t number);
    void restart_due_entries();
    void inject_due_faults();
    void step(node& one);
    void inject_strong_entry_faults();

    fault_plan plan;
    hooks owner_hooks;
    base::instant started_at;
    base::instant now;
    std::vector<std::unique_ptr<node>> nodes; // null: down
    // Restart times of entries that are down.
    std::vector<base::instant> restart_at;
    std::deque<datagram> near_queue; // within a data centre
    std::deque<datagram> far_queue;
    std::deque<datagram> region_queue; // between regions
    std::uint64_t region_datagram_bytes = 0;
    std::deque<datagram> delayed_queue; // at the links of congested entries
    std::vector<datagram> held;         // for slowed processes
    bool strong_lost = false;
    std::vector<std::uint64_t> sent_bytes; // by entry number
    std::size_t largest_sent = 0;          // datagram
    strong_entry_faults strong_faults;
    simulated_links links;
    std::uint64_t failures = 0; // of fetches
    std::size_t next_restart = 0;
    std::size_t next_killed = 0;
    std::size_t next_frozen = 0;
    bool all_killed = false;
    std::uint64_t next_incarnation = 1;
    std::uint64_t next_datagram = 0;
};

} // namespace greengagedrum::entry::fleet_test
