#include <greengagedrum/traffic/limit_permits.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

void limit_permits::on_need_sent(std::uint64_t number, base::instant now)
{
    while (!this->needs.empty() && now - this->needs.front().at >= max_lifetime)
        this->needs.pop_front();
    this->needs.push_back({number, now});
}

bool limit_permits::is_new(base::slot_id giver, const limit_grant& grant)
{
    newest_grant& known = this->newest[giver];
    if (grant.giver < known.giver ||
        (grant.giver == known.giver && grant.number <= known.number))
        return false;
    known = {grant.giver, grant.number};
    return true;
}

bool limit_permits::accept(base::slot_id giver,
                           const limit_grant& grant,
                           base::incarnation own,
                           base::instant now)
{
    if (grant.receiver != own || !this->is_new(giver, grant))
        return false;
    const auto stated = std::find_if(
        this->needs.begin(), this->needs.end(), [&](const stated_need& one) {
            return one.number == grant.need_number;
        });
    if (stated == this->needs.end())
        return false;
    bool added = false;
    for (const limit_permit& one : grant.permits) {
        const base::instant expires_at =
            stated->at + std::min(one.lifetime, max_lifetime);
        if (one.requests == 0 || expires_at <= now)
            continue;
        std::vector<held_permit>& list = this->held[one.upstream];
        const auto place = std::find_if(
            list.begin(), list.end(), [&](const held_permit& other) {
                return other.expires_at > expires_at;
            });
        list.insert(place, {expires_at, one.requests});
        added = true;
    }
    return added;
}

std::uint32_t limit_permits::available(base::upstream_id upstream,
                                       base::instant now) const
{
    const auto found = this->held.find(upstream);
    if (found == this->held.end())
        return 0;
    std::uint32_t sum = 0;
    for (const held_permit& one : found->second)
        sum += one.expires_at > now ? one.requests : 0;
    return sum;
}

bool limit_permits::use(base::upstream_id upstream, base::instant now)
{
    const auto found = this->held.find(upstream);
    if (found == this->held.end())
        return false;
    std::vector<held_permit>& list = found->second;
    std::erase_if(list, [&](const held_permit& one) {
        return one.expires_at <= now || one.requests == 0;
    });
    if (list.empty()) {
        this->held.erase(found);
        return false;
    }
    list.front().requests -= 1;
    return true;
}

} // namespace greengagedrum::traffic
