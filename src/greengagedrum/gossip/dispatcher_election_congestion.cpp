// The election's part in congestion: a congested dispatcher hands over to the
// first live entry that is not congested, and serves its members until then.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

// A dispatcher lists its highest-ranked live members ten times a second. One
// that it has not listed for so long is not waited for.
constexpr base::duration successor_max_age = std::chrono::seconds(1);

} // namespace

bool dispatcher_election::is_congested(ipv4_address address) const
{
    const auto found = this->other_entries.find(address);
    return found != this->other_entries.end() && found->second.congested;
}

duty_rank dispatcher_election::rank_of(ipv4_address address) const
{
    const candidate& other = this->other_entries.at(address);
    return {other.congested, other.cpu_millicores, address};
}

// Whether a live entry ranks above this one and would succeed a congested
// dispatcher. All entries judge by what the dispatcher lists, so the first of
// them succeeds it, and the others follow.
bool dispatcher_election::awaits_successor(base::instant now) const
{
    const std::vector<ipv4_address> all =
        this->ranked_candidates(this->data_centre, now);
    return std::any_of(all.begin(), all.end(), [&](ipv4_address address) {
        const candidate& other = this->other_entries.at(address);
        return this->outranks_self(address) &&
               address != this->current_dispatcher &&
               now >= other.skipped_until &&
               now - other.last_seen_at <= successor_max_age &&
               !is_recently_started(other.started_at, now);
    });
}

bool dispatcher_election::is_to_be_succeeded(ipv4_address address,
                                             base::instant now) const
{
    return this->is_congested(address) && !this->congested &&
           !is_recently_started(this->started, now) &&
           !this->awaits_successor(now);
}

} // namespace greengagedrum::gossip
