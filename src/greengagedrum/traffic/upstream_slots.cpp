// Slots of upstreams: how many more requests this entry may send to each.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// A peer that freed a slot knows so at once and refills it from its own queue.
// Its report takes up to the gossip interval plus the message delay. The other
// entries then take turns, so that one slot isn't used by all that learn of it:
// without turns, entries with queues put 6 to 12 requests on engines of 5
// slots.
constexpr base::duration message_delay = std::chrono::milliseconds(4);
// Length of one turn, in which some of the other entries learn of the slot.
constexpr base::duration turn_step = std::chrono::milliseconds(5);

} // namespace

void upstream_pool::reserve_freed_slots(base::upstream_id id,
                                        upstream_state& one,
                                        std::uint32_t before,
                                        base::instant now)
{
    std::erase_if(one.reserved_until,
                  [&](base::instant until) { return until <= now; });
    const base::instant until =
        now + this->reservation + this->turn_delay(id.value);
    for (std::uint32_t freed = one.peer_requests; freed < before; ++freed)
        one.reserved_until.push_back(until);
    // Slots that were taken again are no longer reserved.
    for (std::uint32_t taken = before;
         taken < one.peer_requests && !one.reserved_until.empty();
         ++taken)
        one.reserved_until.erase(one.reserved_until.begin());
}

base::duration upstream_pool::turn_delay(std::uint64_t lot) const
{
    const std::uint64_t turn =
        placement::mix(this->identity.salt, lot) % (this->waiting_peers + 1);
    return turn_step * static_cast<std::int64_t>(turn);
}

// Failure guarded against: two dozen engines come back at once while all
// entries have queues. Each entry filled every engine on its own, with up to 35
// requests on engines of 5 slots.
void upstream_pool::reserve_new_slots(base::upstream_id id,
                                      upstream_state& one,
                                      base::instant now)
{
    if (this->waiting_peers == 0)
        return;
    for (std::uint64_t place = 0; place < one.slots; ++place)
        one.reserved_until.push_back(
            now + this->turn_delay(placement::mix(id.value, place)));
}

void upstream_pool::set_gossip_interval(base::duration gap)
{
    this->reservation = gap + message_delay;
}

std::uint32_t upstream_pool::free_slots(base::upstream_id id,
                                        const upstream_state& one,
                                        base::instant now) const
{
    const auto awaited = static_cast<std::uint32_t>(
        std::count_if(one.reserved_until.begin(),
                      one.reserved_until.end(),
                      [&](base::instant until) { return until > now; }));
    const std::uint32_t taken = one.own_requests + one.peer_requests + awaited;
    std::uint32_t open = one.slots - std::min(one.slots, taken);
    if (now < one.cold_until)
        open = std::min(open, this->cold_allowance(one, now));
    if (this->limits.limit_of(id, now) > 0) {
        const std::uint32_t part =
            one.is_near ? this->limits.allowance(id, now) : 0;
        open = std::min(open, part + this->permits.available(id, now));
    }
    return open;
}

// Number of requests that this entry may send to a cold upstream now.
std::uint32_t upstream_pool::cold_allowance(const upstream_state& one,
                                            base::instant now) const
{
    const std::uint32_t all = this->services.at(one.service).cold_rate;
    if (all == 0)
        return one.slots;
    const std::uint32_t part = one.is_near ? this->cold_share.share_of(all) : 0;
    return part - std::min(part, one.recent.count(now));
}

std::uint32_t upstream_pool::total_slots(base::upstream_class_id service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0;
    std::uint32_t sum = 0;
    for (const service_member& member : found->second.members) {
        if (!member.state->outliers.suspected())
            sum += member.state->slots;
    }
    return sum;
}

std::uint32_t upstream_pool::total_free_slots(base::upstream_class_id service,
                                              base::instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0;
    std::uint32_t sum = 0;
    for (const service_member& member : found->second.members) {
        if (!member.state->outliers.suspected())
            sum += this->free_slots(member.id, *member.state, now);
    }
    return sum;
}

std::uint32_t
upstream_pool::peer_used_slots(base::upstream_class_id service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0;
    std::uint32_t sum = 0;
    for (const service_member& member : found->second.members)
        sum += member.state->peer_requests;
    return sum;
}

std::uint32_t upstream_pool::used_slots(base::upstream_class_id service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0;
    std::uint32_t sum = 0;
    for (const service_member& member : found->second.members)
        sum += member.state->own_requests + member.state->peer_requests;
    return sum;
}

} // namespace greengagedrum::traffic
