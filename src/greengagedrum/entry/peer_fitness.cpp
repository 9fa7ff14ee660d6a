// Whether this entry is congested, and when it announces that to the others.
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// The longest interval of ticks; a tick after a longer time is late.
constexpr base::duration max_tick_interval = std::chrono::milliseconds(50);

// A pause in which the messages of several heartbeats arrived unread, and the
// time until others have been heard from again.
constexpr base::duration noticeable_pause = std::chrono::milliseconds(150);
constexpr base::duration catch_up_time = std::chrono::milliseconds(500);

// A dispatcher does not announce a congestion that began within this time after
// it took over: each change costs callers a pause, and a data centre whose
// entries congest one after the other would change all the time.
constexpr base::duration min_dispatching_time = std::chrono::seconds(10);

} // namespace

void peer_protocol::observe_load(base::instant now)
{
    const base::duration since = now - std::exchange(this->ticked_at, now);
    if (!this->duties_by_load)
        return this->announce_congestion(false, now);
    gossip::load_observation observed = this->transport.observe_queues
                                            ? this->transport.observe_queues()
                                            : gossip::load_observation();
    observed.lateness =
        std::max(since - max_tick_interval, base::duration::zero());
    if (observed.lateness >= noticeable_pause)
        this->late_tick_at = now;
    if (this->fitness.observe(observed, now))
        this->state.log.write(
            now,
            "peers",
            this->fitness.is_congested() ? "congestion_noticed"
                                         : "congestion_over",
            {{"wait_ms", to_milliseconds(this->fitness.packet_wait())},
             {"late_ms", to_milliseconds(observed.lateness)},
             {"datagram_bytes_unsent", observed.datagram_bytes_unsent},
             {"transfer_bytes_unsent", observed.transfer_bytes_unsent},
             {"dispatching", this->is_serving_members()}});
    this->announce_congestion(this->fitness.is_congested(), now);
}

// The tick that notices a pause may come after messages that arrived in it.
bool peer_protocol::paused_lately(base::instant now) const
{
    return now - this->ticked_at >= max_tick_interval + noticeable_pause ||
           now - this->late_tick_at < catch_up_time;
}

void peer_protocol::announce_congestion(bool congested, base::instant now)
{
    const bool is_held_back =
        congested && this->is_serving_members() &&
        now - this->dispatching_since < min_dispatching_time;
    if (congested == this->congestion_announced || is_held_back)
        return;
    this->congestion_announced = congested;
    this->election.set_congested(congested);
    this->schedule_gossip();
}

} // namespace greengagedrum::entry
