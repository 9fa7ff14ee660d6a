// What a cluster state provides for transfers to other entries.
#include <greengagedrum/entry/cluster_state.hpp>
#include <greengagedrum/platform/documents.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Peers that missed more changes than this get the configuration without a
// reference.
constexpr std::size_t max_former_configurations = 3;
constexpr std::size_t max_former_configuration_bytes = 4U << 20U;

} // namespace

void cluster_state::keep_former_configuration(routing::store_item former)
{
    if (former.value.empty())
        return;
    this->former_configurations.push_front(std::move(former));
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const routing::store_item& one : this->former_configurations) {
        bytes += one.value.size();
        if (count == max_former_configurations ||
            bytes > max_former_configuration_bytes)
            break;
        count += 1;
    }
    this->former_configurations.resize(count);
}

gossip::reference_document cluster_state::newest_configuration() const
{
    const auto found = this->items.find(platform::configuration_key);
    if (found == this->items.end())
        return {};
    return {found->second.revision, found->second.value};
}

gossip::reference_document
cluster_state::configuration_at(std::uint64_t item_revision) const
{
    const gossip::reference_document newest = this->newest_configuration();
    if (newest.revision == item_revision)
        return newest;
    const auto found = std::find_if(this->former_configurations.begin(),
                                    this->former_configurations.end(),
                                    [&](const routing::store_item& one) {
                                        return one.revision == item_revision;
                                    });
    if (found == this->former_configurations.end())
        return {};
    return {found->revision, found->value};
}

gossip::item_transfer
cluster_state::items_after_revision(std::uint64_t since) const
{
    gossip::item_transfer out;
    out.store_revision = this->revision;
    out.change_revision = this->last_change;
    out.complete = since == 0;
    for (const auto& [key, item] : this->items) {
        if (item.revision > since && !(out.complete && item.removed))
            out.items.push_back(item);
    }
    return out;
}

// A store that lost its history may deliver a change late, with a revision
// below those of other changes. Selecting by change number misses none of them.
gossip::item_transfer
cluster_state::items_after_change(std::uint64_t changes) const
{
    gossip::item_transfer out;
    out.store_revision = this->revision;
    out.change_revision = this->last_change;
    out.change_count = this->applied_changes;
    out.complete = changes == 0;
    for (const auto& [key, item] : this->items) {
        const auto found = this->change_numbers.find(key);
        const bool changed =
            found != this->change_numbers.end() && found->second > changes;
        if (out.complete ? !item.removed : changed)
            out.items.push_back(item);
    }
    return out;
}

} // namespace greengagedrum::entry
