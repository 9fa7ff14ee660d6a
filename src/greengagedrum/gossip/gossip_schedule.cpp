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

void gossip_schedule::set_peers(std::size_t near_peers, std::size_t all_peers)
{
    const auto close = static_cast<std::int64_t>(std::max(few, near_peers));
    const auto all = static_cast<std::int64_t>(std::max(few, all_peers));
    constexpr auto least = static_cast<std::int64_t>(few);
    this->near.gap = gap_among_few * close / least;
    this->far.gap =
        std::min(gap_among_few * (all * all) / (least * least), far_gap_most);
    this->quiet_gap = usual_quiet_gap;
}

void gossip_schedule::set_member()
{
    this->near.gap = member_gap;
    this->far.gap = far_gap_most;
    this->quiet_gap = dispatched_gap;
}

// Replies to members go out at once and by themselves.
void gossip_schedule::set_dispatcher()
{
    this->near.gap = dispatched_gap;
    this->far.gap = dispatched_gap;
    this->quiet_gap = dispatched_gap;
}

const gossip_schedule::telling& gossip_schedule::of(recipient_group who) const
{
    return who == recipient_group::own_data_centre ? this->near : this->far;
}

base::duration gossip_schedule::gap(recipient_group who) const
{
    return this->of(who).gap;
}

void gossip_schedule::changed()
{
    this->near.has_news = true;
    this->far.has_news = true;
}

void gossip_schedule::told(recipient_group who, base::instant now)
{
    telling& state =
        who == recipient_group::own_data_centre ? this->near : this->far;
    state.has_news = false;
    state.told_at = now;
}

bool gossip_schedule::is_due(recipient_group who, base::instant now) const
{
    const telling& state = this->of(who);
    const base::duration passed = now - state.told_at;
    return passed >= this->quiet_gap || (state.has_news && passed >= state.gap);
}

std::optional<base::instant> gossip_schedule::next() const
{
    std::optional<base::instant> first;
    for (const telling* one : {&this->near, &this->far}) {
        if (!one->has_news)
            continue;
        const base::instant due = one->told_at + one->gap;
        first = first ? std::min(*first, due) : due;
    }
    return first;
}

} // namespace greengagedrum::gossip
