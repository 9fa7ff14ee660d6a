// What differs in the election between deployments of one region and of
// several: from how many entries on dispatchers are used, and when an entry
// counts as gone.
#include <greengagedrum/gossip/dispatcher_election.hpp>
#include <greengagedrum/gossip/gossip_schedule.hpp>

namespace greengagedrum::gossip
{

namespace
{

// Fleet sizes at which dispatchers start and stop dispatching for all.
struct size_thresholds {
    std::size_t used_from = 0;
    std::size_t used_down_to = 0;
};

// Up to some thirty entries, the messages of a full mesh are fewer than those
// that a dispatcher relays.
constexpr size_thresholds single_region{33, 25};

// In a deployment of several regions a full mesh sends from each entry to each
// entry of the other regions. With 30 entries in two regions these are 450
// pairs, and 18 with dispatchers in six data centres.
constexpr size_thresholds several_regions{9, 7};

// A dispatcher sends to each member ten times a second, so the timeout covers
// three messages in a row. A process that has used up its processor quota
// pauses for up to 100 ms.
constexpr base::duration liveness_timeout = std::chrono::milliseconds(350);

} // namespace

bool dispatcher_election::uses_dispatchers(base::instant now)
{
    const size_thresholds& sizes =
        this->regions.spans_regions() ? several_regions : single_region;
    this->dispatchers_in_use =
        this->entry_count(now) >=
        (this->dispatchers_in_use ? sizes.used_down_to : sizes.used_from);
    return this->dispatchers_in_use;
}

base::duration
dispatcher_election::liveness_timeout_of(const candidate& other) const
{
    const bool across_regions =
        other.accepts_compressed &&
        this->regions.to(other.data_centre) == routing::distance::other_region;
    return across_regions ? region_liveness_timeout : liveness_timeout;
}

bool dispatcher_election::is_in_other_region(ipv4_address address) const
{
    const auto found = this->other_entries.find(address);
    return found != this->other_entries.end() &&
           !found->second.data_centre.empty() &&
           this->regions.to(found->second.data_centre) ==
               routing::distance::other_region;
}

bool dispatcher_election::was_heard_from_other_region(
    ipv4_address address) const
{
    return this->is_in_other_region(address) &&
           this->other_entries.at(address).received_at;
}

bool dispatcher_election::uses_region_interval(ipv4_address address) const
{
    return this->is_in_other_region(address) &&
           this->other_entries.at(address).accepts_compressed;
}

} // namespace greengagedrum::gossip
