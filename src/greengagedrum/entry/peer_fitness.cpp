// Whether this entry is congested, when it announces that to the others, and
// how long it waits for the next dispatcher.
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

// A member that loses its dispatcher waits this long for the next one to answer
// before it dispatches by itself: with only its own knowledge it would fill
// upstreams that other entries have filled already.
constexpr base::duration dispatcher_wait = std::chrono::milliseconds(500);

// Time for which each higher-ranked successor is waited for: the interval of
// probes, and their way there and back.
constexpr base::duration successor_wait = std::chrono::milliseconds(150);

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

// Whether this entry, which has no dispatcher, waits for the next one.
//
// Failure guarded against: the two strong entries of a data centre are lost
// together, and the next one waits until both have left its probes unanswered,
// 0.8 s after their last message. Where duties go by load, it waits a short
// time for each entry that would succeed before it, and not for the lost one.
// After a pause of its own, when all others seem silent, it waits for an
// answer.
bool peer_protocol::expects_dispatcher(base::instant now)
{
    if (this->dispatcher || this->election.succeeds_congested())
        return false;
    const bool had_dispatcher = this->dispatcher_seen_at > this->started_at;
    if (this->election.probe_targets(now).empty())
        return false;
    base::duration wait = dispatcher_wait;
    if (this->duties_by_load && had_dispatcher) {
        if (this->paused_lately(now))
            return this->state.delegating;
        wait = std::min<base::duration>(
            wait, successor_wait * this->election.successors_before_self(now));
    }
    return now - this->dispatcher_seen_at < wait;
}

} // namespace greengagedrum::entry
