// Elects the entry of each data centre that dispatches the requests of all
// entries there: the dispatcher.
//
// In a small fleet each entry dispatches its own requests and sends its load to
// all others. In a large fleet that full mesh would cost each entry thousands
// of messages a second, and the loads received would be older than most
// requests run. One dispatcher for each data centre dispatches for all of its
// entries instead, and only dispatchers exchange loads.
//
// Each entry elects by itself: the dispatcher is the entry of the data centre
// with the most processor share among those heard from within the liveness
// timeout. An entry that has just started leaves an established dispatcher in
// place for a while, and for good unless its own processor share is much
// larger, since a change costs callers a pause and the new dispatcher knows
// little of the upstreams yet. Entries that announce that they are congested
// rank below all others, and a congested dispatcher leaves its role to the
// first live entry that is not congested; until that one dispatches, it remains
// in place. Two entries may elect differently for a moment, and then both
// dispatch. What they dispatch beyond an upstream's slots waits at the upstream
// and has no other effect, so the entries need no consensus.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/duty_rank.hpp>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/routing/regions.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace greengagedrum::gossip
{

class dispatcher_election
{
public:
    dispatcher_election(ipv4_address own_address,
                        base::data_centre_id data_centre,
                        std::uint32_t cpu_millicores,
                        base::instant started)
        : own_address(own_address), data_centre(data_centre),
          cpu_millicores(cpu_millicores), started(started)
    {
    }

    void set_regions(const routing::region_distances& distances)
    {
        this->regions = distances;
    }

    void on_message(const message& received, base::instant now);
    // A probe was sent to that entry, which has to answer.
    void on_probe_sent(ipv4_address address, base::instant now);

    // Entries heard from or listed by others within the last 30 s, this one
    // included.
    std::size_t entry_count(base::instant now) const;
    // Whether the fleet is so large that dispatchers are used; with hysteresis.
    bool uses_dispatchers(base::instant now);

    // Sets whether this entry is a dispatcher.
    void set_dispatching(bool dispatching) { this->dispatching = dispatching; }

    // Sets whether this entry announces that it is congested.
    void set_congested(bool congested) { this->congested = congested; }
    // Whether that entry was congested when last heard from or listed.
    bool is_congested(ipv4_address address) const;
    // Whether this entry has no dispatcher because it succeeds a congested one,
    // which still serves. It then need not look for another one first.
    bool succeeds_congested() const { return this->succeeding; }

    // Live entries that would succeed the dispatcher before this entry does.
    std::size_t successors_before_self(base::instant now) const;

    // Entries seen by this one, or by one that listed them, within `max_age`.
    std::vector<located_entry> seen_within(base::duration max_age,
                                           base::instant now) const;

    // The dispatcher of this entry; empty if it dispatches its own requests.
    std::optional<ipv4_address> dispatcher(base::instant now);

    // Entries to probe: those ranked above the dispatcher, or above this entry
    // if there is no dispatcher, that may be up.
    std::vector<ipv4_address> probe_targets(base::instant now);

    // The known dispatchers of other data centres, and higher-ranked entries
    // there that may be the dispatcher.
    std::vector<ipv4_address> remote_dispatcher_candidates(base::instant now);

    // Whether that entry is known to be in another region.
    bool is_in_other_region(ipv4_address address) const;
    // Whether messages have come from it and it is in another region.
    bool was_heard_from_other_region(ipv4_address address) const;
    // Whether messages between that entry and this one are sent at the interval
    // for other regions, and may be compressed: it said that it does likewise.
    bool uses_region_interval(ipv4_address address) const;

    // Entries of the own data centre that are not live.
    std::vector<ipv4_address> silent_in_data_centre(base::instant now) const;

    // Whether that entry no longer dispatches requests and another one of its
    // data centre does.
    bool is_replaced(ipv4_address address, base::instant now) const;

    // The live entries that would take over from this dispatcher, the first
    // successor first.
    std::vector<ipv4_address> standby_entries(base::instant now) const;

    // Number of entries of the own data centre that rank above this one.
    std::size_t higher_ranked_count(base::instant now) const;

    // Number of other live entries that dispatch requests, in all data centres.
    std::size_t other_dispatcher_count(base::instant now) const;
    // Whether another live entry of the own data centre dispatches requests.
    bool has_dispatcher_in_data_centre(base::instant now) const;

    // Number of other data centres with listed entries from which no message
    // has ever come, and number of known entries in the own data centre.
    std::size_t never_heard_data_centre_count(base::instant now) const;
    std::size_t known_count_in_data_centre(base::instant now) const;

    // Known entries to list in a message to an entry of that data centre: the
    // highest-ranked ones there, and others in rotation.
    std::vector<known_entry>
    select_known_entries(base::data_centre_id recipient_data_centre,
                         base::instant now);
    // The entry has announced that it stops.
    bool is_stopping(ipv4_address address) const;

private:
    struct candidate {
        base::data_centre_id data_centre;
        std::uint32_t cpu_millicores = 0;
        base::instant last_seen_at; // by this entry or by one that listed it
        base::instant started_at;   // of its process
        std::optional<base::instant> received_at;
        base::duration liveness_timeout{0};
        bool accepts_compressed = false;
        // When the probe that awaits an answer was sent; empty if there is
        // none.
        std::optional<base::instant> probed_at;
        base::instant skipped_until;
        bool stopping = false;
        bool delegating = false; // it delegates dispatching to another entry
        bool dispatches_for_others = false; // it is a dispatcher
        bool congested = false;
    };

    using candidates = std::map<ipv4_address, candidate>;

    duty_rank rank_of(ipv4_address address) const;
    bool outranks_self(ipv4_address address) const;
    bool may_succeed(ipv4_address address, base::instant now) const;
    bool is_to_be_succeeded(ipv4_address address, base::instant now) const;
    std::optional<ipv4_address>
    higher_ranked_dispatcher(base::instant now) const;
    std::optional<ipv4_address> incumbent_dispatcher(base::instant now) const;
    bool is_established(ipv4_address address, base::instant now) const;
    bool has_established_dispatcher(base::instant now) const;
    static bool is_recently_started(base::instant started, base::instant now);
    static bool is_live(const candidate& other, base::instant now);
    static bool is_dispatching(const candidate& other, base::instant now);
    std::vector<ipv4_address>
    ranked_candidates(base::data_centre_id in_data_centre,
                      base::instant now) const;
    std::size_t probe_limit(base::instant now) const;
    void add_probe_targets(base::data_centre_id in_data_centre,
                           std::size_t max_count,
                           std::optional<ipv4_address> above,
                           base::instant now,
                           std::vector<ipv4_address>& out);

    base::duration liveness_timeout_of(const candidate& other) const;

    ipv4_address own_address;
    base::data_centre_id data_centre;
    routing::region_distances regions;
    std::uint32_t cpu_millicores; // thousandths of a processor
    base::instant started;
    bool dispatching = false;
    bool congested = false;
    bool succeeding = false; // see succeeds_congested
    // Result of the last election.
    std::optional<ipv4_address> current_dispatcher;
    // Start of the search for a dispatcher; empty if one is known.
    std::optional<base::instant> searching_since;
    candidates other_entries;
    ipv4_address next_address_to_share = 0;
    bool dispatchers_in_use = false;
};

} // namespace greengagedrum::gossip
