// The highest incarnation known of each slot, and which to tell next.
//
// Heartbeats can't carry all: a life that replaces another is told a few times
// at once, one seen first is told once in its turn, and old ones take turns, so
// that a peer that missed one learns it in the end. What reaches a slot's own
// process says that it is superseded.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace greengagedrum::membership
{

class incarnation_table
{
public:
    // True when it is higher than what was known.
    bool learn(base::slot_id slot, base::incarnation incarnation);

    // Zero when nothing is known.
    base::incarnation highest(base::slot_id slot) const;

    // Whether a life that replaces another has not been told yet.
    bool has_unsent_replacement() const;

    // What the next heartbeat is to carry; `in_turn` adds one old one.
    std::vector<heartbeat::known_incarnation> next_to_send(bool with_repeat);

private:
    struct record {
        base::incarnation incarnation;
        std::uint32_t sends_left = 0; // out of turn, still to come
    };

    // A bound against peers that name slots without end.
    static constexpr std::size_t slots_max = 4096;
    static constexpr std::uint32_t first_send_count = 1;
    static constexpr std::uint32_t replacement_send_count = 3;
    static constexpr std::size_t batch_max = 8;

    std::map<base::slot_id, record> records;
    base::slot_id last_repeated;
};

} // namespace greengagedrum::membership
