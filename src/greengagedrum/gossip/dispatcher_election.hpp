// Which entry of each data centre places the requests of all entries there.
//
// Among few entries each places its own requests and tells all others of them.
// Among many that takes thousands of messages a second for each entry, and what
// they say is older than most requests run. So one entry of each data centre,
// its dispatcher, places for all of them, and only dispatchers tell each other.
//
// Each entry finds out for itself: the dispatcher is the strongest entry of the
// data centre that was heard within half a second. One that has just started
// leaves another in place for a while, however strong it is, and for good
// unless it is much stronger: a change costs callers a pause, and the new one
// knows little yet. Two entries may differ for a moment, and then two
// dispatchers place; what they place beyond an upstream's places waits there,
// nothing else follows. So no agreement is needed.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/message.hpp>

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

    void on_message(const message& received, base::instant now);
    // A message was sent to it, which it is to answer.
    void on_probe_sent(ipv4_address address, base::instant now);

    // Entries with any sign of life lately, this one included.
    std::size_t entry_count(base::instant now) const;
    // Many entries: one of each data centre places for all.
    bool uses_dispatchers(base::instant now);

    // This entry places for others too.
    void set_dispatching(bool dispatching) { this->dispatching = dispatching; }

    // Who places this entry's requests; none: itself.
    std::optional<ipv4_address> dispatcher(base::instant now);

    // Those that would go before the dispatcher, or before this entry, and may
    // be there: to be asked whether they are.
    std::vector<ipv4_address> probe_targets(base::instant now);

    // Entries that place for other data centres, as far as is known, and
    // those that may.
    std::vector<ipv4_address> remote_dispatcher_candidates(base::instant now);

    // Entries of the own data centre that were not heard for a while.
    std::vector<ipv4_address> silent_in_data_centre(base::instant now) const;

    // It does not place any more, and another one of its data centre does.
    bool is_replaced(ipv4_address address, base::instant now) const;

    // Entries that are first in line after this one, as long as it places.
    std::vector<ipv4_address> standby_entries(base::instant now) const;

    // Entries of the own data centre that would place before this one.
    std::size_t higher_ranked_count(base::instant now) const;

    // Others that place, of any data centre, this one not counted.
    std::size_t other_dispatcher_count(base::instant now) const;
    // Another entry of the own data centre places.
    bool has_dispatcher_in_data_centre(base::instant now) const;

    // Other data centres of which nobody was heard lately, and entries of the
    // own one that are known of.
    std::size_t never_heard_data_centre_count(base::instant now) const;
    std::size_t known_count_in_data_centre(base::instant now) const;

    // For a message to an entry of that data centre: the strongest there, and
    // others in turn.
    std::vector<known_entry>
    select_known_entries(base::data_centre_id recipient_data_centre,
                         base::instant now);

private:
    struct candidate {
        base::data_centre_id data_centre;
        std::uint32_t cpu_millicores = 0;
        base::instant last_seen_at; // by anyone
        base::instant started_at;   // its process
        std::optional<base::instant> received_at;
        std::optional<base::instant> probed_at; // and not answered since
        base::instant skipped_until;
        bool stopping = false;
        bool delegating = false;            // another one places for it
        bool dispatches_for_others = false; // it places for others
    };

    using candidates = std::map<ipv4_address, candidate>;

    bool outranks_self(ipv4_address address) const;
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

    ipv4_address own_address;
    base::data_centre_id data_centre;
    std::uint32_t cpu_millicores; // thousandths of a processor
    base::instant started;
    bool dispatching = false;
    std::optional<ipv4_address>
        current_dispatcher; // the dispatcher, when last asked
    std::optional<base::instant> searching_since; // none was found since then
    candidates other_entries;
    ipv4_address next_address_to_share = 0;
    bool dispatchers_in_use = false;
};

} // namespace greengagedrum::gossip
