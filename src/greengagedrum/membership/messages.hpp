// Input of the membership slice: the platform's instance list and the
// heartbeats of peer entries.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/platform_reachability.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::membership
{

enum class instance_type : std::uint8_t { entry, upstream };
enum class listed_state : std::uint8_t { live, leaving };

// One instance as the platform lists it. The list lags behind the instances.
struct listed_instance {
    std::string name; // slot of an entry, or name of an upstream
    instance_type type = instance_type::entry;
    std::string data_centre;
    std::string address; // "IP:port"; for an entry, where it accepts peer links
    listed_state state = listed_state::live;
};

// One version of the platform's list. `revision` rises with each change.
struct instance_list {
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
};

// Sent by every entry to each linked peer, every 0.4 s to 1 s by the number of
// links (send_intervals.hpp), and at once when the entry starts to leave.
struct heartbeat {
    base::slot_id slot;
    base::incarnation incarnation;
    std::uint64_t sequence = 0; // one higher in each heartbeat sent
    bool leaving = false;
    std::uint64_t config_revision = 0; // in force at the sender
    std::uint64_t list_revision = 0;   // of the sender's instance list
    // Whether the platform's service answers the sender.
    base::platform_reachability platform = base::platform_reachability::unknown;
    // Highest incarnation that the sender knows of a slot.
    struct known_incarnation {
        base::slot_id slot;
        base::incarnation incarnation;
    };
    // Some of the slots that the sender knows: see incarnation_table.
    std::vector<known_incarnation> known_incarnations;
};

} // namespace greengagedrum::membership
