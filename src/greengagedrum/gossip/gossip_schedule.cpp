#include <greengagedrum/gossip/gossip_schedule.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

// A place taken is known everywhere within 10 ms and a datagram's way. Among
// more entries in a data centre the gap grows with their number, so that what
// one entry sends them stays bounded by 1,000 datagrams a second.
constexpr base::duration gap_among_few = std::chrono::milliseconds(10);
constexpr std::size_t few = 10;

// Other data centres' upstreams are the second choice, so messages to there may
// be older; with the square of the number of entries, up to the most that
// limits and the liveness of peers allow.
constexpr base::duration far_gap_most = std::chrono::milliseconds(200);

// Without a change, as a sign of life: among few entries, and where members
// have to notice within half a second that their dispatcher is gone.
constexpr base::duration usual_quiet_gap = std::chrono::milliseconds(200);
constexpr base::duration dispatched_gap = std::chrono::milliseconds(100);

// A member tells one receiver only. What happens within this time goes into one
// message: a request that ends, and the next that is asked for.
constexpr base::duration member_gap = std::chrono::milliseconds(2);

} // namespace

void gossip_schedule::set_full_mesh_intervals(std::size_t near_peers,
                                              std::size_t all_peers)
{
    const auto close = static_cast<std::int64_t>(std::max(few, near_peers));
    const auto all = static_cast<std::int64_t>(std::max(few, all_peers));
    constexpr auto least = static_cast<std::int64_t>(few);
    this->own_data_centre.interval = gap_among_few * close / least;
    this->other_data_centres.interval =
        std::min(gap_among_few * (all * all) / (least * least), far_gap_most);
    this->heartbeat_interval = usual_quiet_gap;
}

void gossip_schedule::set_member_intervals()
{
    this->own_data_centre.interval = member_gap;
    this->other_data_centres.interval = far_gap_most;
    this->heartbeat_interval = dispatched_gap;
}

// Replies to members go out at once and by themselves.
void gossip_schedule::set_dispatcher_intervals()
{
    this->own_data_centre.interval = dispatched_gap;
    this->other_data_centres.interval = dispatched_gap;
    this->heartbeat_interval = dispatched_gap;
}

const gossip_schedule::group_state&
gossip_schedule::state_of(recipient_group who) const
{
    return who == recipient_group::own_data_centre ? this->own_data_centre
                                                   : this->other_data_centres;
}

base::duration gossip_schedule::interval(recipient_group who) const
{
    return this->state_of(who).interval;
}

void gossip_schedule::on_change()
{
    this->own_data_centre.change_pending = true;
    this->other_data_centres.change_pending = true;
}

void gossip_schedule::on_sent(recipient_group who, base::instant now)
{
    group_state& state = who == recipient_group::own_data_centre
                             ? this->own_data_centre
                             : this->other_data_centres;
    state.change_pending = false;
    state.sent_at = now;
}

bool gossip_schedule::is_due(recipient_group who, base::instant now) const
{
    const group_state& state = this->state_of(who);
    const base::duration passed = now - state.sent_at;
    return passed >= this->heartbeat_interval ||
           (state.change_pending && passed >= state.interval);
}

std::optional<base::instant> gossip_schedule::next_due() const
{
    std::optional<base::instant> first;
    for (const group_state* one :
         {&this->own_data_centre, &this->other_data_centres}) {
        if (!one->change_pending)
            continue;
        const base::instant due = one->sent_at + one->interval;
        first = first ? std::min(*first, due) : due;
    }
    return first;
}

} // namespace greengagedrum::gossip
