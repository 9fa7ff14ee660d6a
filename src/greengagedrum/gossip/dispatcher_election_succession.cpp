// Who succeeds a dispatcher that is lost or congested. A congested one hands
// over to the first live entry that is not congested, and serves its members
// until then.
#include <greengagedrum/gossip/dispatcher_election.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

// A dispatcher lists its highest-ranked live members ten times a second. One
// that it has not listed for so long is not waited for.
constexpr base::duration successor_max_age = std::chrono::seconds(1);

// Entries of a data centre hear a dispatcher at different moments, at most the
// interval of its heartbeats apart, and list it with that age.
constexpr base::duration hearing_difference = std::chrono::milliseconds(200);

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

// Whether a live entry ranks above this one and would succeed the dispatcher
// before it does. All entries judge by what the dispatcher listed, so the first
// of them succeeds it, and the others follow.
bool dispatcher_election::may_succeed(ipv4_address address,
                                      base::instant now) const
{
    const candidate& other = this->other_entries.at(address);
    // Nobody has heard from it since this entry last did.
    const bool lost =
        other.received_at && !is_live(other, now) &&
        *other.received_at + hearing_difference >= other.last_seen_at;
    return this->outranks_self(address) &&
           address != this->current_dispatcher && !lost &&
           now >= other.skipped_until &&
           now - other.last_seen_at <= successor_max_age &&
           !is_recently_started(other.started_at, now);
}

std::size_t dispatcher_election::successors_before_self(base::instant now) const
{
    const std::vector<ipv4_address> all =
        this->ranked_candidates(this->data_centre, now);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](ipv4_address address) {
            return this->may_succeed(address, now);
        }));
}

bool dispatcher_election::is_to_be_succeeded(ipv4_address address,
                                             base::instant now) const
{
    return this->is_congested(address) && !this->congested &&
           !is_recently_started(this->started, now) &&
           this->successors_before_self(now) == 0;
}

} // namespace greengagedrum::gossip
