// One run: load on the world of real entries, faults drawn from the seed, and
// the checks of what must hold.
#pragma once

#include "caller.hpp"
#include "crashing_part.hpp"
#include "prompt_source.hpp"
#include "world.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace soak
{

inline constexpr std::chrono::milliseconds watch_step{20};
// A stream that lost its upstream may be resumed until its deadline.
inline constexpr std::chrono::seconds stream_margin{5};

inline std::int64_t milliseconds_of(clock::duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

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

    // Of a fault of a link, beside what the link does.
    struct effect {
        std::function<void()> begin = [] {};
        std::function<void()> end = [] {};
    };

    void add_all_faults();
    void add_link_faults(const std::string& target,
                         const std::vector<link*>& links,
                         const effect& beside);
    effect disturbs(disturbance& what, clock::duration margin) const;
    void add_upstream_faults(std::size_t number);
    void add_entry_faults(std::size_t number);
    void add_machine_faults(std::size_t number);
    static constexpr std::chrono::milliseconds port_held_for{400};
    task hold_port(tcp::endpoint port);
    void signal_in_series(std::size_t number);
    task send_signals(std::size_t number);
    void draw_faults();
    void play_at(const fault& one, clock::duration at, clock::duration length);
    task play(fault one, clock::duration at, clock::duration length);

    // The fault of `crashing_part`.
    void begin_crashing_part();
    void observe_upstream(std::size_t number);
    task send_crashing_requests(clock::time_point end);
    request_plan draw_crashing_request();
    void crash_upstream(std::size_t number);
    task return_upstream(std::size_t number, clock::duration after);
    // An entry's fault keeps it from the others; one of a large entry also the
    // other entries of its region, until another one dispatches.
    void lose_contact(std::size_t entry);
    void regain_contact(std::size_t entry);
    void change_contact(std::size_t entry, bool lost);
    void change_all_contacts(bool lost);
    void judge_sound(std::size_t entry,
                     const request_plan& plan,
                     const outcome& what);

    task load();
    task watch_entries();
    void restart(std::size_t entry);
    request_plan draw_request();
    void on_outcome(std::size_t entry,
                    const request_plan& plan,
                    const outcome& what);
    bool is_small(const request_plan& plan) const;
    bool counts(const request_plan& plan, clock::time_point began) const;
    void run_for(clock::duration length) { this->context.run_for(length); }
    void await_service(clock::duration limit);
    void stop_entries();

    options given;
    asio::io_context context;
    ledger records;
    world all;
    std::vector<std::unique_ptr<caller>> callers; // by entry
    std::vector<disturbance> entry_disturbed;     // by entry
    disturbance upstreams_disturbed;
    // By kind, so that a kind with many faults isn't drawn more often.
    std::array<std::vector<fault>, 4> faults;
    std::vector<fault> all_large; // that kill the large entries
    std::set<std::string> busy;   // targets with a fault
    std::size_t faults_to_come = 0;
    bool slow_callers = false;
    std::mt19937_64 fault_dice;
    std::mt19937_64 load_dice;
    std::mt19937_64 part_dice;
    prompt_source prompts;
    std::unique_ptr<crashing_part> crashing; // none without that option
    std::uint64_t sent = 0;
    bool loading = true;
    clock::time_point round_began;
    std::size_t round_sent = 0;
    std::size_t round_served = 0;
};

} // namespace soak
