// Begin and upkeep of a pass over the queue of a service.
#include <greengagedrum/traffic/dispatch_pass.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>
#include <map>

namespace greengagedrum::traffic
{

double dispatch_pass::unreachable_share(base::data_centre_id data_centre) const
{
    const auto found =
        std::find_if(this->unreachable_shares.begin(),
                     this->unreachable_shares.end(),
                     [&](const auto& one) { return one.first == data_centre; });
    return found == this->unreachable_shares.end() ? 0 : found->second;
}

void upstream_pool::begin_pass(base::upstream_class_id service,
                               base::instant now,
                               dispatch_pass& pass) const
{
    pass.now = now;
    pass.service = nullptr;
    pass.open.clear();
    pass.full.clear();
    pass.unreachable_shares.clear();
    pass.healthy_free_slots = 0;
    pass.healthy_nearby = 0;
    pass.all_suspected = true;
    pass.suitable_hint = 0;
    pass.rated = 0;
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return;
    pass.service = &found->second;
    const std::vector<service_member>& members = found->second.members;
    bool any_unreachable = false;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const service_member& member = members[index];
        const bool suspected = member.state->outliers.suspected();
        const std::uint32_t free =
            this->free_slots(member.id, *member.state, now);
        if (free > 0)
            pass.open.push_back({index, member, free});
        else
            pass.full.push_back(member);
        pass.healthy_free_slots += suspected ? 0 : free;
        pass.healthy_nearby += member.state->is_near && !suspected ? 1 : 0;
        pass.all_suspected = pass.all_suspected && suspected;
        any_unreachable =
            any_unreachable || member.state->outliers.unreachable();
    }
    if (any_unreachable)
        add_unreachable_shares(pass);
}

void upstream_pool::add_unreachable_shares(dispatch_pass& pass)
{
    struct counts {
        double unreachable = 0;
        double members = 0;
    };
    std::map<base::data_centre_id, counts> by_data_centre;
    for (const service_member& member : pass.service->members) {
        counts& one = by_data_centre[member.state->data_centre];
        one.unreachable += member.state->outliers.unreachable() ? 1 : 0;
        one.members += 1;
    }
    for (const auto& [data_centre, one] : by_data_centre) {
        if (one.unreachable > 0)
            pass.unreachable_shares.emplace_back(data_centre,
                                                 one.unreachable / one.members);
    }
}

void upstream_pool::update_pass(base::upstream_id upstream,
                                dispatch_pass& pass) const
{
    const std::vector<service_member>& members = pass.service->members;
    const auto member = std::find_if(
        members.begin(), members.end(), [&](const service_member& one) {
            return one.id == upstream;
        });
    if (member == members.end())
        return;
    const auto index = static_cast<std::size_t>(member - members.begin());
    const std::uint32_t free =
        this->free_slots(upstream, *member->state, pass.now);
    const auto place =
        std::lower_bound(pass.open.begin(),
                         pass.open.end(),
                         index,
                         [](const dispatch_pass::open_member& one,
                            std::size_t other) { return one.index < other; });
    const bool was_open = place != pass.open.end() && place->index == index;
    const std::uint32_t before = was_open ? place->free_slots : 0;
    if (!member->state->outliers.suspected())
        pass.healthy_free_slots += free - before;
    if (was_open && free > 0) {
        place->free_slots = free;
    } else if (was_open) {
        pass.open.erase(place);
        pass.full.push_back(*member);
    } else if (free > 0) {
        pass.open.insert(place, {index, *member, free});
        std::erase_if(pass.full, [&](const service_member& one) {
            return one.id == upstream;
        });
    }
}

} // namespace greengagedrum::traffic
