// Begin and upkeep of a pass over the queue of a service.
#include <greengagedrum/traffic/dispatch_pass.hpp>
#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>
#include <map>

namespace greengagedrum::traffic
{

namespace
{

using open_list = std::vector<dispatch_pass::open_member>;

// Where the member with that index is, or would be.
open_list::iterator find_place(open_list& list, std::size_t index)
{
    return std::lower_bound(
        list.begin(),
        list.end(),
        index,
        [](const dispatch_pass::open_member& one, std::size_t other) {
            return one.index < other;
        });
}

// Returns the free slots that the member had; 0: it was full.
std::uint32_t remove_open(dispatch_pass& pass, std::size_t index)
{
    for (open_list* list : {&pass.open, &pass.suspected}) {
        const auto place = find_place(*list, index);
        if (place == list->end() || place->index != index)
            continue;
        const std::uint32_t free = place->free_slots;
        list->erase(place);
        return free;
    }
    return 0;
}

} // namespace

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
    pass.suspected.clear();
    pass.full.clear();
    pass.unreachable_shares.clear();
    pass.healthy_free_slots = 0;
    pass.healthy_nearby = 0;
    pass.all_suspected = true;
    pass.sample_begin = 0;
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
        if (free == 0)
            pass.full.push_back(member);
        else if (!suspected || is_probe_due(member, pass))
            pass.open.push_back({index, member, free});
        else
            pass.suspected.push_back({index, member, free});
        pass.healthy_free_slots += suspected ? 0 : free;
        pass.healthy_nearby += member.state->is_near && !suspected ? 1 : 0;
        pass.all_suspected = pass.all_suspected && suspected;
        any_unreachable =
            any_unreachable || member.state->outliers.unreachable();
    }
    if (any_unreachable)
        add_unreachable_shares(pass);
}

bool upstream_pool::is_probe_due(const service_member& member,
                                 const dispatch_pass& pass)
{
    return pass.now >= pass.service->probe_at &&
           member.state->outliers.may_probe(pass.now);
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
    const bool suspected = member->state->outliers.suspected();
    const std::uint32_t before = remove_open(pass, index);
    if (!suspected)
        pass.healthy_free_slots += free - before;
    if (before == 0)
        std::erase_if(pass.full, [&](const service_member& one) {
            return one.id == upstream;
        });
    if (free == 0)
        return pass.full.push_back(*member);
    open_list& list =
        !suspected || is_probe_due(*member, pass) ? pass.open : pass.suspected;
    list.insert(find_place(list, index), {index, *member, free});
}

} // namespace greengagedrum::traffic
