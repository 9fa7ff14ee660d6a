// The highest incarnation known of each slot, and which of them the next
// heartbeats carry.
//
// A heartbeat has no room for all slots. An incarnation that replaces another
// one is sent in the next three heartbeats, the first one known of a slot in
// one heartbeat. The others are repeated one after another, so that a peer that
// missed one learns it later. A process that learns of a higher incarnation of
// its own slot is superseded.
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
    // True if `incarnation` is higher than the highest known one of `slot`.
    // False for a new slot when the table is full.
    bool learn(base::slot_id slot, base::incarnation incarnation);

    // Zero for an unknown slot.
    base::incarnation highest(base::slot_id slot) const;

    // Whether an incarnation that replaces another one has not been sent yet.
    bool has_unsent_replacement() const;

    // Incarnations for the next heartbeat: new ones, `batch_max` at most.
    // `with_repeat` adds one known for longer, round robin over all slots,
    // unless the batch is full.
    std::vector<heartbeat::known_incarnation> next_to_send(bool with_repeat);

private:
    struct record {
        base::incarnation incarnation;
        std::uint32_t sends_left = 0; // heartbeats that still carry it as new
    };

    // Limits memory if a faulty peer reports ever more slots.
    static constexpr std::size_t slots_max = 4096;
    static constexpr std::uint32_t first_send_count = 1;
    static constexpr std::uint32_t replacement_send_count = 3;
    static constexpr std::size_t batch_max = 8;

    std::map<base::slot_id, record> records;
    base::slot_id last_repeated;
};

} // namespace greengagedrum::membership
