// Faults of the strong entries of a simulated fleet, of which each data centre
// has two: they are lost together, their processes run for a moment at a time
// only, or their links delay whatever they send.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/duty_fitness.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace greengagedrum::entry::fleet_test
{

enum class strong_entry_fault : std::uint8_t { none, lost, slowed, congested };

struct strong_entry_plan {
    // Two entries of each data centre are strong, in processors and link.
    bool present = false;
    bool duties_by_load = false; // their settings ask for it
    strong_entry_fault fault = strong_entry_fault::none;
    double from = 1e9; // seconds
    double until = 1e9;
    bool all_entries = false; // the fault affects the weak entries too
};

class strong_entry_faults
{
public:
    strong_entry_faults(const strong_entry_plan& plan, std::size_t data_centres)
        : plan(plan), data_centres(data_centres)
    {
    }

    // Entries of each data centre that are strong.
    static constexpr std::size_t strong_each = 2;

    bool is_strong(std::size_t number) const
    {
        return number < strong_each * this->data_centres;
    }
    bool is_faulty(std::size_t number, double seconds) const;

    // Whether the process runs now. One that is slowed receives later what
    // arrives meanwhile.
    bool runs(std::size_t number, double seconds) const;

    // The time for which a datagram that is sent now waits at the link.
    base::duration send_delay(std::size_t number, double seconds) const;
    // Share of the link's capacity that transfers have.
    double link_share(std::size_t number, double seconds) const;

    void on_sent(std::size_t number, std::uint64_t bytes, base::instant leaves);
    gossip::load_observation queues(std::size_t number, base::instant now);

private:
    struct unsent_datagram {
        base::instant leaves;
        std::uint64_t bytes = 0;
    };

    struct send_queue {
        std::uint64_t written = 0;
        std::uint64_t unsent = 0;
        std::deque<unsent_datagram> datagrams;
    };

    strong_entry_plan plan;
    std::size_t data_centres;
    std::unordered_map<std::size_t, send_queue> queued; // by entry number
};

} // namespace greengagedrum::entry::fleet_test
