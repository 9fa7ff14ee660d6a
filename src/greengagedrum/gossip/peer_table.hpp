// The table of the other entries: which are known, which are live, and which a
// message goes to next.
//
// Entries find each other through a few seed addresses, any of which may be
// down, and then by gossip: each message lists some entries that its sender
// knows. An entry counts as live only through messages received from it, never
// because another entry lists it.
#pragma once

#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/routing/regions.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagedrum::gossip
{

enum class peer_update : std::uint8_t {
    none,
    found,     // first message, or first one after silence
    restarted, // another incarnation at the same address
    outdated   // older than a message already applied
};

// The peers that a message goes to. A peer of another region that is of an
// earlier version, or silent, counts among the other data centres.
enum class recipient_group : std::uint8_t {
    own_data_centre,
    other_data_centres,
    other_regions,
};
inline constexpr std::size_t recipient_group_count = 3;

class peer_table
{
public:
    peer_table(ipv4_address own_address,
               std::string data_centre,
               base::incarnation incarnation)
        : own_address(own_address), data_centre(std::move(data_centre)),
          incarnation(incarnation)
    {
    }

    void set_regions(const routing::region_distances& distances)
    {
        this->regions = distances;
    }

    // Of the entry that the table belongs to.
    ipv4_address address() const { return this->own_address; }

    void add_seed(ipv4_address address);

    peer_update on_message(const message& received, base::instant now);

    // Addresses to send to now: the live peers of that group. The group of the
    // other data centres also includes peers that are not live, each once per
    // probe interval.
    std::vector<ipv4_address> select_recipients(recipient_group group,
                                                base::instant now);

    // Seeds that are not live.
    std::vector<ipv4_address> silent_seeds(base::instant now) const;

    // A few known entries to list in the next message, in rotation; empty until
    // the share interval has passed.
    std::vector<known_entry> select_known_entries(recipient_group group,
                                                  base::instant now);

    // Instance names of peers that became silent since the last call.
    std::vector<std::string> take_newly_silent(base::instant now);

    std::size_t live_count(base::instant now) const;
    // Live peers that do not stop.
    std::vector<located_entry> serving_peers(base::instant now) const;
    // Whether the address is that of a seed, a peer or an entry listed by one.
    bool contains(ipv4_address address) const
    {
        return this->peers.contains(address);
    }
    // Live peers that do not stop, those of the own data centre first, and
    // seeds and other peers that are not live.
    struct peers_by_liveness {
        std::vector<ipv4_address> live;
        std::vector<ipv4_address> silent;
    };
    peers_by_liveness by_liveness(base::instant now) const;
    // Number of seeds and listed peers from which no message has come yet.
    std::size_t never_heard_count() const;
    bool has_never_heard_seed() const;
    std::size_t live_count_in_data_centre(base::instant now) const;
    // Number of peers heard from within the last 10 s.
    std::size_t recently_live_count(base::instant now) const;

    // This entry's rank by address among the entries of its data centre: how
    // many there are, itself included, and how many have a lower address. Peers
    // heard from within the last 10 s count.
    struct address_rank {
        std::size_t entry_count = 1;
        std::size_t lower_count = 0;
    };
    address_rank rank_in_data_centre(base::instant now) const;

    struct store_source {
        ipv4_address address = 0;
        bool in_own_data_centre = false;
        std::uint64_t configuration_revision = 0;
        std::uint64_t change_revision = 0;
        std::uint64_t store_revision = 0;
    };
    // The live peer with the newest configuration and, among these, the newest
    // known change of the store; peers of the own data centre are preferred.
    // `turn` picks among equals.
    std::optional<store_source> newest_store_source(base::instant now,
                                                    std::uint64_t turn) const;

    // Whether a live peer of the own data centre has a lower address. That peer
    // then reads the store for both.
    bool has_store_reader_in_data_centre(base::instant now) const;
    // Of the peer's process that was last heard from; 0: none was.
    base::incarnation incarnation_of(ipv4_address address) const;
    // The entry has announced that it stops.
    bool is_stopping(ipv4_address address) const;

private:
    struct peer {
        std::string instance;
        base::data_centre_id data_centre;
        std::uint32_t cpu_millicores = 0;
        bool in_own_data_centre = false;
        // In another region, and sent to at the interval for these.
        bool across_regions = false;
        base::incarnation incarnation;
        // Of the process heard before this one. While this one lives, late
        // messages of the other are dropped. Empty: none.
        std::optional<base::incarnation> former_incarnation;
        std::uint64_t sequence = 0;
        std::optional<base::instant>
            received_at; // empty: only listed by others
        base::instant learned_at;
        base::instant probed_at;
        bool seed = false;
        bool reported_live = false;
        bool stopping = false;
        std::uint64_t configuration_revision = 0;
        std::uint64_t change_revision = 0;
        std::uint64_t store_revision = 0;
    };

    static bool is_live(const peer& known_peer, base::instant now);
    static recipient_group group_of(const peer& known_peer, base::instant now);

    ipv4_address own_address;
    std::string data_centre;
    base::incarnation incarnation;
    std::map<ipv4_address, peer> peers;
    ipv4_address next_address_to_share = 0;
    // When known entries were last listed to each group.
    std::array<base::instant, recipient_group_count> shared_at{};
    routing::region_distances regions;
};

} // namespace greengagedrum::gossip
