// Counts the entries that dispatch requests, and those for which limits reserve
// a share.
#include <greengagedrum/entry/peer_protocol.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Time until the members have found their new dispatcher.
constexpr base::duration member_gather_time = std::chrono::milliseconds(300);

// A slot freed by the dispatcher of another data centre is left to that
// dispatcher for this time.
constexpr base::duration gossip_interval_of_dispatchers =
    std::chrono::milliseconds(10);

} // namespace

void peer_protocol::update_counts(base::instant now)
{
    this->track_uptime(now);
    this->update_slow_start_share(now);
    if (this->uses_dispatchers)
        return this->update_counts_with_dispatchers(now);
    traffic::scheduler& scheduler = this->state.scheduler;
    scheduler.set_entry_count(this->table.recently_live_count(now) + 1);
    scheduler.set_gossip_interval(
        this->schedule.interval(gossip::recipient_group::own_data_centre));
    this->state.limiter.set_never_heard_peer_count(
        this->table.never_heard_count());
    // Only dispatchers have members.
    this->state.limiter.set_unreported_member_share(0, now);
}

// Failure guarded against: an entry that is partitioned from all others has no
// members, dispatches by itself, and would admit the whole limit of each
// workspace in addition to what the other entries admit.
void peer_protocol::update_counts_with_dispatchers(base::instant now)
{
    const std::size_t all = this->election.entry_count(now);
    const std::size_t dispatchers =
        this->election.other_dispatcher_count(now) + 1;
    traffic::scheduler& scheduler = this->state.scheduler;
    scheduler.set_entry_count(this->members.empty() ? all : dispatchers);
    scheduler.set_retrying_entry_count(all);
    scheduler.set_gossip_interval(gossip_interval_of_dispatchers);
    const std::size_t unheard =
        this->election.never_heard_data_centre_count(now) +
        this->unheard_in_data_centre(now);
    this->state.limiter.set_never_heard_peer_count(unheard);
    this->state.limiter.set_unreported_member_share(this->unreported_share(now),
                                                    now);
    this->forget_replaced_dispatchers(now);
    const entry_counts counted{dispatchers, unheard};
    if (this->state.delegating || counted == this->logged_counts)
        return;
    this->logged_counts = counted;
    this->state.log.write(now,
                          "peers",
                          "dispatchers_counted",
                          {{"dispatchers", dispatchers},
                           {"unheard", unheard},
                           {"members", this->members.size()},
                           {"entries", all}});
}

// Entries of this data centre that may admit requests without this entry
// receiving their messages. After a change of dispatchers the members arrive
// one by one; an entry that still has none later is partitioned.
std::size_t peer_protocol::unheard_in_data_centre(base::instant now) const
{
    const bool gathered = now - this->dispatching_since >= member_gather_time;
    if (this->members.empty())
        return gathered
                   ? std::max(this->unheard_at_takeover,
                              this->election.known_count_in_data_centre(now))
                   : this->unheard_at_takeover;
    if (gathered || this->members.size() >= this->unheard_at_takeover)
        return 0;
    return this->unheard_at_takeover - this->members.size();
}

// The share of this data centre's entries, 0 to 1, that report to no dispatcher
// this entry receives messages from. unheard_in_data_centre() covers an entry
// without members.
double peer_protocol::unreported_share(base::instant now) const
{
    if (this->state.delegating || this->state.stopping ||
        this->members.empty() ||
        now - this->dispatching_since < member_gather_time ||
        this->election.has_dispatcher_in_data_centre(now))
        return 0;
    const std::size_t reporting = 1 + this->members_reporting(now);
    const std::size_t all = 1 + this->election.known_count_in_data_centre(now);
    return reporting >= all
               ? 0
               : 1 - static_cast<double>(reporting) / static_cast<double>(all);
}

// Failure guarded against: a dispatcher falls silent and another one of its
// data centre takes over. While a share of each limit stayed reserved for the
// former, as for a partitioned one, work within the limits was refused for half
// a minute.
void peer_protocol::forget_replaced_dispatchers(base::instant now)
{
    std::erase_if(this->counted_dispatchers, [&](const auto& one) {
        if (!this->election.is_replaced(one.second, now))
            return false;
        this->state.limiter.forget_peer(one.first);
        return true;
    });
}

void peer_protocol::count_request_bytes(base::data_centre_id upstream,
                                        const std::string& peer,
                                        std::uint64_t bytes)
{
    if (!this->regions.spans_regions())
        return;
    const bool crosses =
        this->regions.to(upstream) == routing::distance::other_region;
    relay::error_code fault;
    const auto address = relay::asio::ip::make_address_v4(peer, fault);
    const bool peer_crosses =
        !fault && this->election.is_in_other_region(address.to_uint());
    if (crosses || peer_crosses)
        this->state.metrics.add(telemetry::process_count{
            peer.empty() ? telemetry::counter::region_request_bytes
                         : telemetry::counter::region_tunnel_bytes,
            bytes});
}

} // namespace greengagedrum::entry
