// Several entries with one busy workspace in virtual time: messages that take
// their time, cuts, restarts, limits that change. It counts what all of them
// let through together, as an operator would.
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
    double rate = 1000; // of the limit, a second; its burst is as much
    double overshoot = 0.25;
    double slack = 720;
    // Asked for, against the limit's rate: all the time, and in a busy phase.
    double usual_demand = 0.6;
    double busy_demand = 4;
    double busy_from = 10;
    double busy_for = 8;
    bool half_at_one_entry = false; // half of the demand comes to one entry
    double isolated_from = 1e9;
    double isolated_for = 0;
    std::size_t isolated_entries = 0; // so many entries, each by itself
    double split_from = 1e9;
    double split_for = 0;         // the entries fall apart into two groups
    bool restart_in_turn = false; // restarts one after the other, else by lot
    std::vector<double> restarts; // of one entry each, by time
    std::vector<std::pair<double, double>> limits; // factor of rate, by time
    double longest_wait = 2; // seconds that a request waits before it is sent
    double refused_after_wait = 0.3; // of those that wait, never sent
    std::uint64_t seed = 1;
};

// Draws a plan with anything that may happen.
simulation_plan random_plan(std::uint64_t seed);

struct simulation_result {
    double requested = 0;
    double admitted = 0;
    double refused = 0;
    // The most that any window held, over what is tolerated there.
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
        double factor = 1; // of the limit, as it knows it
    };

    struct waiting_request {
        base::instant admitted_at;
        base::instant until;
        std::size_t at = 0;
        base::incarnation incarnation;
        double cost = 0;
        bool sent = false; // in the end
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
    void configure(entry& one);
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
