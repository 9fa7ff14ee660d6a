#include <greengagedrum/membership/link_choice.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace greengagedrum::membership
{

namespace
{

struct candidate {
    base::slot_id slot;
    const std::string* address = nullptr;
};

using candidate_list = std::vector<candidate>;

// The rendezvous weight of two slots, the same in either order. Distributes
// well for inputs that are hashes, as slot ids are.
std::uint64_t pair_weight(base::slot_id left, base::slot_id right)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    constexpr unsigned shift = 29;
    std::uint64_t mixed = std::min(left, right).value * multiplier;
    mixed = (mixed ^ (mixed >> shift)) + std::max(left, right).value;
    mixed *= multiplier;
    mixed ^= mixed >> shift;
    mixed *= multiplier;
    return mixed ^ (mixed >> shift);
}

struct slot_pair {
    std::uint64_t weight = 0;
    const candidate* local = nullptr;
    const candidate* remote = nullptr;
};

std::vector<slot_pair> pairs_by_weight(const candidate_list& local,
                                       const candidate_list& remote)
{
    std::vector<slot_pair> out;
    out.reserve(local.size() * remote.size());
    for (const candidate& local_end : local)
        for (const candidate& remote_end : remote)
            out.push_back({pair_weight(local_end.slot, remote_end.slot),
                           &local_end,
                           &remote_end});
    std::sort(out.begin(), out.end(), [](const auto& left, const auto& right) {
        return left.weight > right.weight;
    });
    return out;
}

void add_remote_links(const candidate_list& local,
                      const candidate_list& remote,
                      base::slot_id own,
                      std::vector<link_target>& out)
{
    std::vector<slot_pair> chosen;
    for (const slot_pair& next : pairs_by_weight(local, remote)) {
        const bool shares_end = std::any_of(
            chosen.begin(), chosen.end(), [&next](const slot_pair& pair) {
                return pair.local == next.local || pair.remote == next.remote;
            });
        if (shares_end)
            continue;
        chosen.push_back(next);
        if (next.local->slot == own)
            out.push_back({next.remote->slot, *next.remote->address});
        if (chosen.size() == pairs_per_data_centre)
            return;
    }
}

} // namespace

std::vector<link_target>
choose_links(const instance_list& list,
             base::slot_id own,
             base::data_centre_id data_centre,
             const std::function<bool(base::slot_id)>& usable)
{
    std::vector<link_target> out;
    candidate_list local;
    std::map<base::data_centre_id, candidate_list> remote;
    for (const listed_instance& instance : list.instances) {
        if (instance.type != instance_type::entry)
            continue;
        const base::slot_id slot(instance.name);
        const base::data_centre_id instance_data_centre(instance.data_centre);
        const bool eligible =
            instance.state == listed_state::live && usable(slot);
        if (instance_data_centre == data_centre && slot != own)
            out.push_back({slot, instance.address});
        if (instance_data_centre == data_centre && (eligible || slot == own))
            local.push_back({slot, &instance.address});
        if (instance_data_centre != data_centre && eligible)
            remote[instance_data_centre].push_back({slot, &instance.address});
    }
    for (const auto& [instance_data_centre, slots] : remote)
        add_remote_links(local, slots, own, out);
    return out;
}

} // namespace greengagedrum::membership
