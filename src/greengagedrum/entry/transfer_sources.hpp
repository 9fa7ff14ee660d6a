// Decides which entry sends a large configuration to an entry that asks for it.
//
// A dispatcher whose members all ask in the same moment would share its link
// among all of them, and the last one would have the configuration no sooner
// than the sum of all transfers takes. Each entry that has it serves a few
// others at a time instead, so the number of those that have it multiplies with
// each round. How many it serves depends on its link, where that is known; an
// entry that is congested serves none while there are others.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>

#include <optional>
#include <span>
#include <unordered_map>

namespace greengagedrum::entry
{

// An entry that has the configuration.
struct configuration_holder {
    gossip::ipv4_address address = 0;
    std::uint64_t link_bytes_per_second = 0; // 0: unknown
    bool congested = false;
};

class transfer_sources
{
public:
    // The one of `holders` that sends the configuration of `revision` to
    // `receiver`; empty: all are busy. The first holder is this entry itself.
    std::optional<gossip::ipv4_address>
    assign(gossip::ipv4_address receiver,
           std::span<const configuration_holder> holders,
           std::uint64_t revision,
           base::instant now);

    // `entry` holds the configuration of `revision`.
    void on_revision(gossip::ipv4_address entry, std::uint64_t revision);

private:
    struct transfer {
        gossip::ipv4_address sender = 0;
        std::uint64_t revision = 0;
        base::instant started_at;
    };

    std::size_t load_of(gossip::ipv4_address sender) const;

    std::unordered_map<gossip::ipv4_address, transfer> transfers; // by receiver
};

} // namespace greengagedrum::entry
