// The other entries: who was heard of, who is alive, whom to tell what.
//
// Entries find each other through a few seed addresses that may be down, and
// then through each other: each message names some entries that its sender has
// heard. Liveness rests on messages received, never on what others say of it.
#pragma once

#include <greengagedrum/gossip/message.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagedrum::gossip
{

enum class peer_update : std::uint8_t {
    none,
    found,     // first heard, or heard again after silence
    restarted, // another process in its place
    outdated   // the message is older than one already taken
};

// Whom a message is for.
enum class recipient_group : std::uint8_t {
    own_data_centre,
    other_data_centres,
};

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

    void add_seed(ipv4_address address);

    peer_update on_message(const message& received, base::instant now);

    // Addresses to be told now: those that are alive, of the own data centre
    // or of the others, and with the others once in a while those that may be.
    std::vector<ipv4_address> select_recipients(recipient_group group,
                                                base::instant now);

    // Seeds that are not alive.
    std::vector<ipv4_address> silent_seeds(base::instant now) const;

    // For the own message: those heard lately, a few at a time in turn.
    std::vector<known_entry> select_known_entries(recipient_group group,
                                                  base::instant now);

    // Those that fell silent since the last call.
    std::vector<std::string> take_newly_silent(base::instant now);

    std::size_t live_count(base::instant now) const;
    // Named by seeds or peers, and never heard.
    std::size_t never_heard_count() const;
    bool has_never_heard_seed() const;
    std::size_t live_count_in_data_centre(base::instant now) const;
    // Alive now, or not long ago.
    std::size_t recently_live_count(base::instant now) const;

    // Of those of the own data centre, this entry included: how many there
    // are, and how many of them have a lower address.
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
    // The live peer with the newest configuration and the newest change known
    // of the store's, of the own data centre if there is one; `turn` picks
    // among equals.
    std::optional<store_source> newest_store_source(base::instant now,
                                                    std::uint64_t turn) const;

    // A live peer of the own data centre comes before this entry: it is to
    // read the store for both.
    bool has_store_reader_in_data_centre(base::instant now) const;

private:
    struct peer {
        std::string instance;
        base::data_centre_id data_centre;
        std::uint32_t cpu_millicores = 0;
        bool in_own_data_centre = false; // of the own data centre
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::optional<base::instant> received_at; // empty: only named by others
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

    ipv4_address own_address;
    std::string data_centre;
    base::incarnation incarnation;
    std::map<ipv4_address, peer> peers;
    ipv4_address next_address_to_share = 0;
    // When others were named last, to each audience.
    base::instant shared_with_own_data_centre_at;
    base::instant shared_with_others_at;
};

} // namespace greengagedrum::gossip
