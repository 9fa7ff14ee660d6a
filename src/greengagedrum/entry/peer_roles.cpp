// Roles in a large fleet: which entry dispatches requests, and the handling of
// messages received from the others.
#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/rate_limit_log.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// A dispatcher query of the same entry is answered at most once in this time; a
// start of all entries at once brings hundreds of queries to each seed.
constexpr base::duration query_answer_interval = std::chrono::milliseconds(150);

// Limit state received from a dispatcher stays valid until a standby entry has
// detected the dispatcher's silence and has probed the candidates that rank
// before itself.
constexpr base::duration limits_max_age = std::chrono::milliseconds(1000);

// Repeats cover datagram loss between data centres, which may reach 1 %.
constexpr std::uint32_t role_notices = 3;

// A process that has run for less time may not have received messages of all
// peers yet.
constexpr base::duration peer_discovery_time = std::chrono::seconds(3);

// A process that was started during a network partition may have received
// messages of few peers on its side. A peer that was named by others and stayed
// silent for this time is treated as gone.
constexpr base::duration never_heard_peer_timeout = std::chrono::seconds(30);

// Entries are counted many times a second; a longer gap between two counts
// means that the process was frozen.
constexpr base::duration freeze_threshold = std::chrono::milliseconds(400);

// A member reports ten times a second.
constexpr base::duration report_max_age = std::chrono::milliseconds(500);

// After a change of dispatchers, the time in which the former one's sends still
// count.
constexpr base::duration former_sends_window = std::chrono::seconds(1);

} // namespace

void peer_protocol::merge_suspects(const gossip::message& received,
                                   base::instant now)
{
    if (received.suspects.empty())
        return;
    const auto changes =
        this->state.scheduler.crash_suspects().merge(received.suspects, now);
    for (const quarantine::quarantine_state_change& one : changes)
        log_crash_suspect(this->state, one, received.instance);
}

// A dispatcher passes on what its members have read, but not what peers report.
void peer_protocol::merge_rate_limits(const gossip::message& received,
                                      base::instant now)
{
    const bool of_member = received.kind == gossip::message_kind::report &&
                           this->uses_dispatchers && !this->state.delegating;
    const auto source = of_member ? traffic::limit_source::own_group
                                  : traffic::limit_source::peer;
    for (const traffic::announced_limit& one : received.rate_limits) {
        if (this->state.scheduler.announced_limits().record(one, source, now))
            log_rate_limit(
                this->state, {one.upstream, one.per_second}, received.instance);
    }
}

void peer_protocol::on_load(const gossip::message& received, base::instant now)
{
    const base::slot_id slot(received.instance);
    if (this->uses_dispatchers &&
        (this->state.delegating ||
         received.data_centre == this->own_settings.data_centre))
        this->answer_dispatcher_query(received, now);
    if (received.delegating) {
        this->state.scheduler.on_peer_lost(slot);
        this->state.limiter.forget_peer(slot);
        return;
    }
    if (this->state.delegating)
        return;
    if (this->uses_dispatchers)
        this->counted_dispatchers[slot] = received.address;
    const bool across_regions =
        this->election.uses_region_interval(received.address);
    this->state.scheduler.on_peer_report(
        slot, received.upstream_loads, received.queue_reports, now);
    this->state.limiter.on_peer_report(slot,
                                       received.incarnation,
                                       received.workspace_usage,
                                       received.stopping,
                                       now,
                                       across_regions
                                           ? gossip::region_liveness_timeout
                                           : quota::silence_timeout);
    this->answer_limit_needs(received, now);
    if (this->state.scheduler.waiting() > 0)
        this->events.peer_load_changed();
}

// The dispatcher counts the member's usage from now on; the load that the
// member reports is taken as it is.
void peer_protocol::on_report(const gossip::message& received,
                              base::instant now)
{
    if (!this->uses_dispatchers)
        return;
    const base::slot_id slot(received.instance);
    if (this->state.delegating) {
        // The answer makes the sender look for another dispatcher.
        this->answer_dispatcher_query(received, now);
        return;
    }
    this->members[slot] = {received.address,
                           received.incarnation,
                           now,
                           received.configuration_revision,
                           received.link_bytes_per_second,
                           received.congested};
    this->sources.on_revision(received.address,
                              received.configuration_revision);
    this->state.limiter.forget_peer(slot);
    this->events.report_received(slot, received);
    this->send_replies();
}

void peer_protocol::on_reply(const gossip::message& received, base::instant now)
{
    this->on_limits(received, now);
    this->update_role(now);
    if (this->dispatcher != received.address)
        return;
    if (this->unanswered_report <= received.reply.acked_report)
        this->unanswered_report = 0;
    this->events.reply_received(received.reply);
}

// Limit state is sent by a dispatcher to its standby entries, and by a
// dispatcher that stops or that this entry has replaced.
void peer_protocol::on_limits(const gossip::message& received,
                              base::instant now)
{
    const base::slot_id slot(received.instance);
    if (this->received_limits && this->received_limits->sender == slot)
        this->received_limits->sender_stopping = received.stopping;
    if (received.workspace_usage.empty())
        return;
    if (!this->state.delegating) {
        this->state.limiter.on_peer_report(slot,
                                           received.incarnation,
                                           received.workspace_usage,
                                           received.stopping,
                                           now);
        if (received.delegating)
            this->state.limiter.forget_peer(slot);
        return;
    }
    this->received_limits = {slot,
                             received.incarnation,
                             received.workspace_usage,
                             received.stopping,
                             now};
}

void peer_protocol::answer_dispatcher_query(const gossip::message& received,
                                            base::instant now)
{
    base::instant& answered = this->query_answered_at[received.address];
    if (now - answered < query_answer_interval)
        return;
    answered = now;
    gossip::message out = this->make_answer(
        gossip::message_kind::dispatcher_query_reply, received.incarnation);
    out.known_entries = this->election.select_known_entries(
        base::data_centre_id(received.data_centre), now);
    this->send_datagram(gossip::encode(out), received.address);
}

bool peer_protocol::is_serving_members() const
{
    return this->uses_dispatchers && !this->state.delegating &&
           !this->members.empty();
}

void peer_protocol::update_role(base::instant now)
{
    const bool used_dispatchers = std::exchange(
        this->uses_dispatchers, this->election.uses_dispatchers(now));
    if (this->uses_dispatchers && !used_dispatchers)
        this->state.limiter.forget_peers();
    if (!this->uses_dispatchers) {
        this->dispatcher.reset();
        this->set_role(false, now);
        this->schedule.set_full_mesh_intervals(
            this->table.live_count_in_data_centre(now), this->live_peers());
        return;
    }
    this->election.set_dispatching(this->is_serving_members());
    const auto next = this->election.dispatcher(now);
    const auto former = std::exchange(this->dispatcher, next);
    if (next != former) {
        this->state.log.write(
            now,
            "peers",
            "dispatcher_changed",
            {{"dispatcher",
              next ? relay::asio::ip::address_v4(*next).to_string()
                   : std::string("none")},
             {"entries", this->election.entry_count(now)}});
        this->schedule.on_change();
    }
    if (next)
        this->dispatcher_seen_at = now;
    this->set_role(next.has_value() || this->expects_dispatcher(now), now);
    if (this->state.delegating)
        return this->schedule.set_member_intervals();
    this->schedule.set_dispatcher_intervals();
    // Without the query the former dispatcher would probe this entry only after
    // two seconds, and dispatch in the meantime.
    if (former)
        this->send_dispatcher_query({*former}, now);
}

void peer_protocol::set_role(bool delegating, base::instant now)
{
    if (delegating == this->state.delegating)
        return;
    if (delegating) {
        this->role_notices_left = role_notices;
        this->hand_over_limits(now);
        this->members.clear();
        return this->events.delegation_started();
    }
    this->dispatching_since = now;
    const bool limits_valid =
        this->received_limits &&
        now - this->received_limits->received_at <= limits_max_age;
    const bool planned_stop =
        limits_valid && this->received_limits->sender_stopping;
    this->unheard_at_takeover =
        planned_stop ? 0 : this->election.known_count_in_data_centre(now);
    this->events.delegation_ended(
        this->election.never_heard_data_centre_count(now) +
            this->unheard_at_takeover,
        limits_valid ? &*this->received_limits : nullptr);
    this->received_limits.reset();
}

// Failure guarded against: all entries start or resume at once before cold
// upstreams, and each sends them the whole rate that they can take until it has
// received messages of the others.
void peer_protocol::track_uptime(base::instant now)
{
    if (now - this->counted_at > freeze_threshold)
        this->running_since = now;
    this->counted_at = now;
    if (!this->dispatches_for_half(now))
        this->half_dispatched_since = now;
}

// At most two entries of a data centre can dispatch for half of it at a time.
bool peer_protocol::dispatches_for_half(base::instant now) const
{
    if (this->state.delegating)
        return false;
    return 2 * (this->members_reporting(now) + 1) >=
           this->election.known_count_in_data_centre(now) + 1;
}

std::size_t peer_protocol::members_reporting(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->members.begin(), this->members.end(), [&](const auto& one) {
            return now - one.second.heard_at <= report_max_age;
        }));
}

// This entry's share of the requests to cold upstreams of its data centre. In a
// large fleet the dispatcher has all of them, once the sends of the former
// dispatcher no longer count.
traffic::slow_start_share
peer_protocol::compute_slow_start_share(base::instant now) const
{
    const base::duration uptime = now - this->running_since;
    const bool others_unheard = this->uses_dispatchers
                                    ? this->table.has_never_heard_seed()
                                    : this->table.never_heard_count() > 0;
    if (uptime <
        (others_unheard ? never_heard_peer_timeout : peer_discovery_time))
        return {};
    if (this->uses_dispatchers)
        return now - this->half_dispatched_since >= former_sends_window
                   ? traffic::slow_start_share{0, 1}
                   : traffic::slow_start_share{};
    const auto nearby = this->table.rank_in_data_centre(now);
    return {static_cast<std::uint32_t>(nearby.lower_count),
            static_cast<std::uint32_t>(nearby.entry_count)};
}

void peer_protocol::update_slow_start_share(base::instant now)
{
    const traffic::slow_start_share next = this->compute_slow_start_share(now);
    if (next == this->current_share)
        return;
    this->current_share = next;
    this->state.scheduler.set_slow_start_share(next);
    this->state.log.write(now,
                          "peers",
                          "cold_upstreams_shared",
                          {{"rank", next.rank}, {"sharers", next.entries}});
}

} // namespace greengagedrum::entry
