// What entries and the platform tell the membership slice.
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

// One line of the platform's lagging list.
struct listed_instance {
    std::string name; // slot name of an entry, or name of an upstream
    instance_type type = instance_type::entry;
    std::string data_centre;
    std::string address; // "IP:port"; of the peer link for an entry
    listed_state state = listed_state::live;
};

// The platform's list as one reading. `revision` rises with each change.
struct instance_list {
    std::uint64_t revision = 0;
    std::vector<listed_instance> instances;
};

// Sent by every entry to the peers it is linked with, about twice a second,
// and at once when it starts to leave.
struct heartbeat {
    base::slot_id slot;
    base::incarnation incarnation;
    std::uint64_t sequence = 0; // rises by one for each sent
    bool leaving = false;
    std::uint64_t config_revision = 0; // highest in force at the sender
    std::uint64_t list_revision = 0;   // highest instance list it has seen
    // Whether the sender hears the platform's service.
    base::platform_reachability platform = base::platform_reachability::unknown;
    // Highest incarnation the sender has seen for each slot it knows.
    struct known_incarnation {
        base::slot_id slot;
        base::incarnation incarnation;
    };
    std::vector<known_incarnation> known_incarnations;
};

} // namespace greengagedrum::membership
