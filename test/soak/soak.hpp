// One run: load on the world of real entries, faults drawn from the seed, and
// the checks of what must hold.
#pragma once

#include "caller.hpp"
#include "world.hpp"

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace soak
{

class run
{
public:
    explicit run(options given);
    run(const run&) = delete;
    run& operator=(const run&) = delete;

    // False when a promise was broken; each is printed.
    bool pass();

private:
    // While something is disturbed, and shortly after, responses may be cut.
    struct disturbance {
        std::size_t active = 0; // faults now
        clock::time_point last{};

        void end(clock::duration margin);
        void extend(clock::duration margin);
        bool since(clock::time_point begin) const;
    };

    struct fault {
        std::string target; // has one fault at a time
        std::string name;
        std::function<void()> begin;
        std::function<void()> end;
        std::function<bool()> may_end{}; // empty: at any time
    };

    void add_link_faults(const std::string& target,
                         const std::vector<link*>& links,
                         disturbance* disturbed,
                         clock::duration margin);
    void add_upstream_faults(std::size_t number);
    void add_entry_faults(std::size_t number);
    void draw_faults();
    void play_at(const fault& one, clock::duration at, clock::duration length);
    task play(fault one, clock::duration at, clock::duration length);

    task load();
    task watch_entries();
    void restart(std::size_t entry);
    request_plan draw_request();
    void on_outcome(std::size_t entry,
                    const request_plan& plan,
                    const outcome& what);
    bool counts(const request_plan& plan, clock::time_point began) const;
    void run_for(clock::duration length) { this->context.run_for(length); }
    void await_service(clock::duration limit);
    void stop_entries();

    options given;
    asio::io_context context;
    ledger records;
    world all;
    std::vector<std::unique_ptr<caller>> callers; // by entry
    std::array<disturbance, world::entry_count> entry_disturbed;
    disturbance upstreams_disturbed;
    // By kind, so that a kind with many faults isn't drawn more often.
    std::array<std::vector<fault>, 4> faults;
    std::vector<fault> all_large; // that kill the large entries
    std::set<std::string> busy;   // targets with a fault
    std::size_t faults_to_come = 0;
    bool slow_callers = false;
    std::mt19937_64 fault_dice;
    std::mt19937_64 load_dice;
    std::uint64_t sent = 0;
    bool loading = true;
    clock::time_point round_began;
    std::size_t round_sent = 0;
    std::size_t round_served = 0;
};

} // namespace soak
