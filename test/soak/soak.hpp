// One run: load on the world of real entries, faults drawn from the seed, and
// the checks of what must hold.
#pragma once

#include "caller.hpp"
#include "fault.hpp"
#include "options.hpp"
#include "world.hpp"

#include <array>
#include <memory>
#include <random>
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
    // While an entry or its link to callers is disturbed, and shortly after,
    // its responses may be cut.
    struct disturbance {
        std::size_t active = 0; // faults now
        clock::time_point last{};

        void end(clock::duration margin);
        bool since(clock::time_point begin) const;
    };

    task load();
    task watch_entries();
    task play(fault one);

    // False: the target is still busy with an earlier fault.
    bool begin(const link_fault& one);
    bool begin(const upstream_fault& one);
    bool begin(const entry_killed& one);
    bool begin(const entry_frozen& one);
    bool begin(const entry_stopped& one);
    bool begin(const callers_slow& one);
    void end(const link_fault& one);
    void end(const upstream_fault& one);
    void end(const entry_killed& one);
    void end(const entry_frozen& one);
    void end(const entry_stopped& one);
    void end(const callers_slow& one);

    request_plan draw_request();
    void on_outcome(std::size_t entry,
                    const request_plan& plan,
                    const outcome& what);
    bool excused(std::size_t entry,
                 const request_plan& plan,
                 const outcome& what) const;
    bool takes_callers(std::size_t entry) const;
    void set_links(std::size_t group, link_state state);
    void run_for(clock::duration length) { this->context.run_for(length); }
    void await_service(clock::duration limit);
    void stop_entries();
    void check_memory();

    options given;
    asio::io_context context;
    ledger records;
    world all;
    fault_targets targets;
    std::vector<std::unique_ptr<caller>> callers; // by entry
    std::array<disturbance, world::entry_count> entry_disturbed;
    std::array<bool, world::entry_count> entry_busy{};     // with a fault
    std::array<bool, world::entry_count> restart_wanted{}; // once it has ended
    disturbance upstreams_disturbed;
    std::size_t faults_active = 0;
    bool slow_callers = false;
    std::mt19937_64 dice;
    std::uint64_t sent = 0;
    bool loading = true;
    clock::time_point round_began;
    std::size_t round_sent = 0;
    std::size_t round_served = 0;
};

} // namespace soak
