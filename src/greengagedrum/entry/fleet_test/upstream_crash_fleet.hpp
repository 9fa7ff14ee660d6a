// A fleet of entries and upstreams of one service in virtual time, in which
// requests crash the upstreams that run them. Each entry sends its own
// requests. The messages between a dispatcher and its members are simulated,
// the dispatching is not. The owner submits requests, and decides through hooks
// how they run.
#pragma once

#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>

#include <random>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct crash_fault_plan : fault_plan {
    std::size_t upstreams = 9;
    // Interval at which all connections of one entry are reset; 0: never.
    base::duration connection_reset_interval{0};
    // Interval at which an upstream exits for another reason; 0: never.
    base::duration upstream_exit_interval{0};
};

class upstream_crash_fleet
{
public:
    // One send of a request, at the upstream that it reached.
    struct run {
        std::size_t entry = 0;
        std::uint64_t process_id = 0;
        base::request_id request;
        std::uint32_t send = 0;
        bool crashes = false; // its upstream, when it ends
        std::uint32_t events = 0;
        base::instant next_event_at = base::instant::max(); // max: no more
        base::instant ends_at;
    };

    struct hooks {
        // Sets `crashes`, `ends_at` and `next_event_at` of a run that starts.
        std::function<void(run&)> started;
        std::function<void(const run&)> crashed; // its upstream
        // The upstream of the run exited, for whatever reason.
        std::function<void(const run&)> interrupted = [](const run&) {};
        std::function<void(base::request_id, const base::verdict&)> ended;
        std::function<void(base::request_id)> answered;
    };

    upstream_crash_fleet(const crash_fault_plan& plan, hooks owner);

    // Advances virtual time by 5 ms; false until requests may be submitted.
    bool step();

    std::size_t size() const { return this->fleet.size(); }
    double seconds() const { return this->fleet.seconds(); }
    base::instant time() const { return this->fleet.time(); }
    bool is_serving(std::size_t entry)
    {
        return this->fleet.serving(entry) != nullptr;
    }
    // On the smaller side of the plan's network partition.
    bool is_behind_partition(std::size_t entry) const
    {
        return this->fleet.is_behind_partition(entry);
    }
    // Kills the entry's process; another one starts after that time.
    void kill(std::size_t entry, base::duration down_for)
    {
        this->fleet.kill(entry, down_for);
    }
    // Time since the entry's process started.
    base::duration age(std::size_t entry) const
    {
        return this->fleet.time() - this->processes[entry].started_at;
    }
    // Whether the entry has been up, and not cut off by the plan's network
    // partition, for that long.
    bool is_informed(std::size_t entry, base::duration time) const;

    // A stream of the service, without a digest.
    static traffic::request_facts stream_request();
    base::request_id next_id()
    {
        return base::request_id{this->next_request++};
    }
    void submit(std::size_t entry,
                base::request_id id,
                const traffic::request_facts& facts);

    // All random draws of a run are from this one.
    std::mt19937_64& random() { return this->random_engine; }
    double draw() // from 0 to 1
    {
        return std::uniform_real_distribution<double>(0,
                                                      1)(this->random_engine);
    }

    // Most crash records of any entry.
    std::size_t most_records();
    std::uint64_t busiest_bytes_per_second() const;

private:
    using node = virtual_fleet::node;

    struct upstream {
        std::uint64_t incarnation = 0;
        base::upstream_id id;
        bool alive = true;
        base::instant back_at;
        std::vector<run> runs;
    };

    // The state that one entry process has in the simulation.
    struct process_state {
        std::uint64_t process_id = 0;
        base::instant started_at;
        dispatch::member_request_table book;
    };

    virtual_fleet::hooks fleet_hooks();
    peer_events events_of(node& entry);
    void configure(node& one);
    void execute(node& at, const traffic::actions& actions);
    void submit_event(node& at, const traffic::event& event);
    void send(node& at, const traffic::send_request& action);
    bool is_alive(base::upstream_id id) const;
    void run_upstreams();
    void restart_if_due(std::size_t number);
    void advance_runs(upstream& one);
    void exit_upstream(upstream& one);
    // Submits the event to the process that sent the run, if it still exists.
    void report(const run& one, const traffic::event& event);
    void reset_connections();
    routing::published_upstream published(std::size_t number) const;

    crash_fault_plan plan;
    hooks owner;
    std::mt19937_64 random_engine;
    std::vector<process_state> processes; // by entry
    std::vector<upstream> upstreams;
    virtual_fleet fleet;
    base::instant next_reset;
    base::instant next_exit;
    std::uint64_t next_request = 1;
    std::uint64_t next_process = 1;
};

} // namespace greengagedrum::entry::fleet_test
