#include <greengagedrum/gossip/gossip_schedule.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

// A slot taken at an upstream is known to all entries within 10 ms and a
// datagram's transit time. With more entries in a data centre the interval
// grows with their number, which bounds what one entry sends them at 1,000
// datagrams a second.
constexpr base::duration min_mesh_interval = std::chrono::milliseconds(10);
constexpr std::size_t min_mesh_size = 10;

// Upstreams of other data centres are the second choice, so loads from there
// may be older. The interval grows with the square of the number of entries, up
// to the maximum that the limits and the liveness of peers allow.
constexpr base::duration max_remote_interval = std::chrono::milliseconds(200);

// Heartbeat intervals without a change: in a full mesh, and where members have
// to notice within half a second that their dispatcher is gone.
constexpr base::duration mesh_heartbeat_interval =
    std::chrono::milliseconds(200);
constexpr base::duration dispatched_heartbeat_interval =
    std::chrono::milliseconds(100);

// A member sends to its dispatcher only. Changes within this time share one
// message, such as a request that ends and the next one that asks for a slot.
constexpr base::duration member_interval = std::chrono::milliseconds(2);

} // namespace

void gossip_schedule::set_full_mesh_intervals(std::size_t peers_in_data_centre,
                                              std::size_t all_peers)
{
    const auto near_count = static_cast<std::int64_t>(
        std::max(min_mesh_size, peers_in_data_centre));
    const auto all_count =
        static_cast<std::int64_t>(std::max(min_mesh_size, all_peers));
    constexpr auto min_count = static_cast<std::int64_t>(min_mesh_size);
    this->own_data_centre.interval = min_mesh_interval * near_count / min_count;
    this->other_data_centres.interval = std::min(
        min_mesh_interval * (all_count * all_count) / (min_count * min_count),
        max_remote_interval);
    this->heartbeat_interval = mesh_heartbeat_interval;
}

void gossip_schedule::set_member_intervals()
{
    this->own_data_centre.interval = member_interval;
    this->other_data_centres.interval = max_remote_interval;
    this->heartbeat_interval = dispatched_heartbeat_interval;
}

// Replies to members are sent at once, outside this schedule.
void gossip_schedule::set_dispatcher_intervals()
{
    this->own_data_centre.interval = dispatched_heartbeat_interval;
    this->other_data_centres.interval = dispatched_heartbeat_interval;
    this->heartbeat_interval = dispatched_heartbeat_interval;
}

const gossip_schedule::group_state&
gossip_schedule::state_of(recipient_group group) const
{
    if (group == recipient_group::other_regions)
        return this->other_regions;
    return group == recipient_group::own_data_centre ? this->own_data_centre
                                                     : this->other_data_centres;
}

base::duration gossip_schedule::heartbeat_of(recipient_group group) const
{
    return group == recipient_group::other_regions ? region_interval
                                                   : this->heartbeat_interval;
}

base::duration gossip_schedule::interval(recipient_group group) const
{
    return this->state_of(group).interval;
}

void gossip_schedule::on_change()
{
    this->own_data_centre.change_pending = true;
    this->other_data_centres.change_pending = true;
    this->other_regions.change_pending = this->spans_regions;
}

void gossip_schedule::on_sent(recipient_group group, base::instant now)
{
    group_state& state =
        group == recipient_group::other_regions     ? this->other_regions
        : group == recipient_group::own_data_centre ? this->own_data_centre
                                                    : this->other_data_centres;
    state.change_pending = false;
    state.sent_at = now;
}

bool gossip_schedule::is_due(recipient_group group, base::instant now) const
{
    if (group == recipient_group::other_regions && !this->spans_regions)
        return false;
    const group_state& state = this->state_of(group);
    const base::duration elapsed = now - state.sent_at;
    return elapsed >= this->heartbeat_of(group) ||
           (state.change_pending && elapsed >= state.interval);
}

std::optional<base::instant> gossip_schedule::next_due() const
{
    std::optional<base::instant> earliest;
    for (const group_state* group : {&this->own_data_centre,
                                     &this->other_data_centres,
                                     &this->other_regions}) {
        if (!group->change_pending)
            continue;
        const base::instant due = group->sent_at + group->interval;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

} // namespace greengagedrum::gossip
