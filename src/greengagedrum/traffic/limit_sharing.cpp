// Parts of announced limits that one entry does not use and gives to another.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Permits expire within half a second, in which an entry sends few more.
constexpr std::size_t need_most = 64;

// An entry with a queue of its own gives to one whose need is longer by this
// factor. Failure guarded against: callers that are refused by the one entry
// that most connections go to come back at the others, which then use their
// parts for these retries and have none to give.
constexpr std::size_t need_over_own_queue = 2;

} // namespace

std::uint32_t upstream_pool::unmet_limit_need(base::upstream_class_id service,
                                              std::size_t queued,
                                              base::instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0;
    bool any_limited = false;
    std::size_t held = 0;
    for (const service_member& member : found->second.members) {
        if (this->limits.limit_of(member.id, now) <= 0)
            continue;
        any_limited = true;
        held += this->permits.available(member.id, now);
    }
    if (!any_limited)
        return 0;
    return static_cast<std::uint32_t>(
        std::min(queued - std::min(queued, held), need_most));
}

std::vector<limit_permit> upstream_pool::give_permits(const limit_need& need,
                                                      std::uint64_t need_number,
                                                      base::instant now)
{
    std::vector<limit_permit> out;
    const auto found = this->services.find(need.service);
    if (found == this->services.end() || found->second.members.empty())
        return out;
    std::uint32_t left =
        this->limits.requested_part(need.requests, need_number);
    const std::vector<service_member>& members = found->second.members;
    // Starts at another upstream each time, as the receiver's slots there are
    // few.
    const std::uint64_t first =
        placement::mix(this->identity.salt, need_number) % members.size();
    for (std::size_t step = 0; step < members.size() && left > 0; ++step) {
        const auto& [id, state] = members[(first + step) % members.size()];
        const upstream_state& one = *state;
        if (!one.is_near || one.outliers.suspected() ||
            this->limits.limit_of(id, now) <= 0)
            continue;
        const limit_permit given = this->limits.give(
            id, std::min(left, this->free_slots(id, one, now)), now);
        if (given.requests == 0)
            continue;
        left -= given.requests;
        out.push_back(given);
    }
    return out;
}

std::vector<limit_need> scheduler::limit_needs(base::instant at) const
{
    std::vector<limit_need> out;
    if (this->delegating)
        return out;
    for (const auto& [service, queue] : this->queues) {
        const std::uint32_t need =
            this->pool.unmet_limit_need(service, queue.size(), at);
        if (need > 0)
            out.push_back({service, need});
    }
    return out;
}

std::vector<limit_permit>
scheduler::give_permits(std::span<const limit_need> needs,
                        std::uint64_t need_number,
                        base::instant at)
{
    std::vector<limit_permit> out;
    if (this->delegating)
        return out;
    for (const limit_need& need : needs) {
        const auto queue = this->queues.find(need.service);
        const std::size_t own =
            queue == this->queues.end() ? 0 : queue->second.size();
        if (need.requests <= own * need_over_own_queue)
            continue;
        const auto given = this->pool.give_permits(need, need_number, at);
        out.insert(out.end(), given.begin(), given.end());
    }
    return out;
}

} // namespace greengagedrum::traffic
