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

struct run_plan {
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
    bool uneven = false; // half of the demand comes to one entry
    double cut_from = 1e9;
    double cut_for = 0;
    std::size_t cut_off = 0; // so many entries, each by itself
    double halves_from = 1e9;
    double halves_for = 0;        // the entries fall apart into two groups
    bool in_turn = false;         // restarts one after the other, else by lot
    std::vector<double> restarts; // of one entry each, by time
    std::vector<std::pair<double, double>> limits; // factor of rate, by time
    double waits_most = 2;     // seconds that a request waits before it is sent
    double refused_late = 0.3; // of those that wait, never sent
    std::uint64_t seed = 1;
};

// Draws a plan with anything that may happen.
run_plan random_plan(std::uint64_t seed);

struct run_result {
    double asked = 0;
    double let = 0;
    double refused = 0;
    // The most that any window held, over what is tolerated there.
    double worst_share = 0;
    double worst_at = 0; // seconds
};

class entries_run
{
public:
    explicit entries_run(const run_plan& plan);

    run_result play();

private:
    struct entry {
        usage_limiter limiter;
        base::incarnation life;
        double factor = 1; // of the limit, as it knows it
    };

    struct waiting_request {
        base::instant taken;
        base::instant until;
        std::size_t at = 0;
        base::incarnation life;
        double cost = 0;
        bool sent = false; // in the end
    };

    struct message {
        base::instant arrives;
        std::size_t from = 0;
        std::size_t to = 0;
        base::incarnation life;
        std::vector<workspace_usage> uses;
    };

    double seconds() const;
    double draw();
    void configure(entry& one);
    void change_limits();
    void restart_due();
    bool connected(std::size_t from, std::size_t to) const;
    void send_messages();
    void deliver_messages();
    void ask();
    void ask_at(std::size_t at, double cost);
    void end_waiting();
    double asked_unnoticed(base::instant until) const;
    double tolerated(base::instant until) const;
    void judge(run_result& out) const;

    struct let_through {
        base::instant taken;
        base::instant sent;
        double cost = 0;
    };

    run_plan plan;
    std::mt19937_64 dice;
    base::instant begun;
    base::instant now;
    std::vector<entry> entries;
    std::vector<waiting_request> waiting;
    std::deque<message> messages;
    std::vector<let_through> ran;
    std::vector<std::pair<base::instant, double>> asked_by_time;
    std::vector<std::pair<base::instant, double>> factors; // as published
    std::uint64_t next_life = 1;
    std::size_t next_restart = 0;
    std::size_t next_limit = 0;
    run_result result;
};

} // namespace greengagedrum::quota::test
