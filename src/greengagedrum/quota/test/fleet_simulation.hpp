// Simulates several entries and one busy workspace in virtual time, with
// message delays, network partitions, restarts and limit changes. Counts what
// all entries admit together, as the operator does.
#pragma once

#include <greengagedrum/quota/usage_limiter.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace greengagedrum::quota::test
{

struct simulation_plan {
    std::size_t entries = 6;
    double seconds = 40;
    // Of the limit, a second; the burst is one second's rate.
    double rate = 1000;
    double overshoot = 0.25;
    double slack = 720;
    // Demand as a factor of the limit's rate: normally, and in a busy phase.
    double usual_demand = 0.6;
    double busy_demand = 4;
    double busy_from = 10;
    double busy_for = 8;
    bool half_at_one_entry = false; // half of the demand goes to one entry
    double isolated_from = 1e9;
    double isolated_for = 0;
    std::size_t isolated_entries = 0; // number of entries, each isolated
    double split_from = 1e9;
    double split_for = 0;         // the entries are split into two groups
    bool restart_in_turn = false; // restart entries in turn, else at random
    std::vector<double> restarts; // times; each of one entry
    // Time, and factor of the rate.
    std::vector<std::pair<double, double>> limits;
    // Longest wait of a request before it is sent, in seconds.
    double longest_wait = 2;
    // Part of the waiting requests that is never sent.
    double refused_after_wait = 0.3;
    std::uint64_t seed = 1;
};

// A plan with random events of every kind.
simulation_plan random_plan(std::uint64_t seed);

struct simulation_result {
    double requested = 0;
    double admitted = 0;
    double refused = 0;
    // The highest usage of any window, as a part of what is tolerated in it.
    double highest_share = 0;
    double highest_at = 0; // seconds
};

class fleet_simulation
{
public:
    explicit fleet_simulation(const simulation_plan& plan);

    simulation_result run();

private:
    struct entry {
        usage_limiter limiter;
        base::incarnation incarnation;
        double factor = 1; // of the limit, as this entry knows it
    };

    struct waiting_request {
        base::instant admitted_at;
        base::instant until;
        std::size_t at = 0;
        base::incarnation incarnation;
        double cost = 0;
        bool sent = false; // sent after the wait, not refused
    };

    struct message {
        base::instant arrives;
        std::size_t from = 0;
        std::size_t to = 0;
        base::incarnation incarnation;
        std::vector<workspace_usage> usage;
    };

    double seconds() const;
    double draw();
    void configure(entry& target);
    void change_limits();
    void restart_entries();
    bool connected(std::size_t from, std::size_t to) const;
    void send_messages();
    void deliver_messages();
    void submit_requests();
    void submit_at(std::size_t at, double cost);
    void finish_waiting();
    double requested_before_detection(base::instant until) const;
    double tolerated_usage(base::instant until) const;
    void measure_windows(simulation_result& out) const;

    struct admitted_request {
        base::instant admitted_at;
        base::instant sent;
        double cost = 0;
    };

    simulation_plan plan;
    std::mt19937_64 random;
    base::instant started_at;
    base::instant now;
    std::vector<entry> entries;
    std::vector<waiting_request> waiting;
    std::deque<message> messages;
    std::vector<admitted_request> sent_requests;
    std::vector<std::pair<base::instant, double>> requested_by_time;
    std::vector<std::pair<base::instant, double>> factors; // as published
    std::uint64_t next_incarnation = 1;
    std::size_t next_restart = 0;
    std::size_t next_limit = 0;
    simulation_result result;
};

} // namespace greengagedrum::quota::test
