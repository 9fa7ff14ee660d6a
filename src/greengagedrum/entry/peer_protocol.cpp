#include <greengagedrum/entry/peer_protocol.hpp>
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// An entry that does not read the store itself may rely on a peer for at most
// 6/10 of the bound within which a change must be in force. The rest is
// reserved for two calls of the store, one of which may be lost.
constexpr std::int64_t peer_reliance_parts = 6;
constexpr std::int64_t all_parts = 10;

// A watch call of the entry that reads the store takes up to 500 ms, and its
// message up to 200 ms more.
constexpr base::duration max_watch_delay = std::chrono::milliseconds(800);

// Interval of the liveness check; nothing that depends on it is needed sooner.
constexpr base::duration check_interval = std::chrono::milliseconds(20);

std::uint32_t strength_of(const settings& given)
{
    constexpr double thousandths = 1000;
    return static_cast<std::uint32_t>(thousandths * given.processors);
}

// Entries listed by others that were seen this recently may take requests.
constexpr base::duration listed_entry_max_age = std::chrono::seconds(5);

} // namespace

peer_protocol::peer_protocol(const settings& given,
                             base::incarnation incarnation,
                             shared_state& state,
                             peer_events events,
                             peer_transport transport)
    : own_settings(given), incarnation(incarnation), state(state),
      events(std::move(events)), transport(std::move(transport)),
      table(relay::asio::ip::make_address_v4(given.ip).to_uint(),
            given.data_centre,
            incarnation),
      election(relay::asio::ip::make_address_v4(given.ip).to_uint(),
               base::data_centre_id(given.data_centre),
               strength_of(given),
               state.clock()),
      fitness(given.link_bytes_per_second), ticked_at(state.clock()),
      started_at(state.clock()), running_since(state.clock()),
      counted_at(state.clock()), half_dispatched_since(state.clock()),
      dispatcher_seen_at(state.clock()), dispatching_since(state.clock())
{
    state.scheduler.set_slow_start_share(this->current_share);
    this->apply_settings(given);
    this->begin_suspect_inquiry(state.clock());
}

void peer_protocol::apply_settings(const settings& given)
{
    this->own_settings = given;
    this->regions = routing::region_distances(
        base::data_centre_id(given.data_centre), given.regions);
    this->table.set_regions(this->regions);
    this->election.set_regions(this->regions);
    this->schedule.set_spans_regions(this->regions.spans_regions());
    this->several_regions = routing::spans_regions(given.regions);
    this->duty.set_max_age(this->store_answer_max_age() + far_message_delay);
    this->duties_by_load = given.duties_by_load;
    for (const base::ip_endpoint& one : given.seeds)
        this->table.add_seed(
            relay::asio::ip::make_address_v4(one.ip).to_uint());
}

std::size_t peer_protocol::live_peers() const
{
    return this->table.live_count(this->state.clock());
}

std::map<gossip::ipv4_address, base::data_centre_id>
peer_protocol::serving_entries() const
{
    const base::instant now = this->state.clock();
    std::map<gossip::ipv4_address, base::data_centre_id> found;
    for (const gossip::located_entry& one : this->table.serving_peers(now))
        found[one.address] = one.data_centre;
    // In a large fleet, most entries are known only from lists.
    if (this->uses_dispatchers)
        for (const gossip::located_entry& one :
             this->election.seen_within(listed_entry_max_age, now))
            found.try_emplace(one.address, one.data_centre);
    return found;
}

std::vector<reachable_peer> peer_protocol::serving_peers() const
{
    const auto found = this->serving_entries();
    const base::data_centre_id own(this->own_settings.data_centre);
    std::vector<reachable_peer> out;
    out.reserve(found.size());
    for (const auto& [address, data_centre] : found)
        out.push_back(
            {{relay::asio::ip::address_v4(address).to_string(),
              this->own_settings.peer_port},
             data_centre,
             data_centre == own,
             this->regions.to(data_centre) == routing::distance::other_region,
             this->election.is_congested(address)});
    return out;
}

bool peer_protocol::is_stopping(const std::string& ip) const
{
    relay::error_code fault;
    const auto address = relay::asio::ip::make_address_v4(ip, fault);
    return !fault && (this->table.is_stopping(address.to_uint()) ||
                      this->election.is_stopping(address.to_uint()));
}

bool peer_protocol::knows_entry(const std::string& ip) const
{
    relay::error_code fault;
    const auto address = relay::asio::ip::make_address_v4(ip, fault);
    if (fault)
        return false;
    const auto seen =
        this->election.seen_within(base::duration::max(), this->state.clock());
    return this->table.contains(address.to_uint()) ||
           std::any_of(seen.begin(), seen.end(), [&](const auto& one) {
               return one.address == address.to_uint();
           });
}

std::size_t peer_protocol::recently_live_peers() const
{
    return this->table.recently_live_count(this->state.clock());
}

void peer_protocol::on_message(std::string_view bytes, const std::string& from)
{
    const base::instant now = this->state.clock();
    if (gossip::is_stream_version_message(bytes))
        return this->on_stream_message(bytes, from);
    const auto message = gossip::decode_message(bytes);
    if (!message)
        return this->log_unreadable(bytes, from);
    if (this->is_for_another_process(*message))
        return this->state.log.write(
            now,
            "peers",
            "message_for_earlier_process",
            {{"peer", message->instance}, {"life", message->recipient.value}});
    const gossip::peer_update update = this->table.on_message(*message, now);
    if (update == gossip::peer_update::outdated)
        return;
    this->election.on_message(*message, now);
    if (this->several_regions)
        this->duty.on_message(*message, now);
    if (update != gossip::peer_update::none)
        this->state.log.write(
            now,
            "peers",
            update == gossip::peer_update::found ? "peer_found"
                                                 : "peer_restarted",
            {{"peer", message->instance},
             {"config_revision", message->configuration_revision},
             {"store_revision", message->store_revision}});
    this->merge_suspects(*message, now);
    this->merge_rate_limits(*message, now);
    this->accept_limit_grant(*message, now);
    this->peer_store_answer_at =
        std::max(this->peer_store_answer_at, now - message->store_age);
    switch (message->kind) {
    case gossip::message_kind::load:
        if (this->uses_dispatchers)
            this->answer_dispatcher_query(*message, now);
        else
            this->on_load(*message, now);
        break;
    case gossip::message_kind::dispatcher_load:
        this->on_load(*message, now);
        break;
    case gossip::message_kind::report:
        this->on_report(*message, now);
        break;
    case gossip::message_kind::reply:
        this->on_reply(*message, now);
        break;
    case gossip::message_kind::dispatcher_query:
        this->answer_dispatcher_query(*message, now);
        break;
    case gossip::message_kind::dispatcher_query_reply:
        break;
    case gossip::message_kind::suspect_query:
        this->answer_suspect_query(*message, now);
        break;
    case gossip::message_kind::suspect_page:
        this->on_suspect_page(*message, now);
        break;
    }
    if (update != gossip::peer_update::none)
        this->update_role(now);
    if (this->uses_dispatchers && this->followed_entry(now) == message->address)
        return this->sync_with_followed(*message, now);
    if (message->configuration_revision >
            this->state.cluster.configuration_revision() ||
        message->change_revision > this->state.cluster.last_change_revision())
        this->fetch_if_outdated(now);
}

// Maximum age of the newest store answer of any peer. If it is older, possibly
// no entry reads the store.
base::duration peer_protocol::store_answer_max_age() const
{
    return store_reader::poll_interval_for(
               this->own_settings.bounds.shortest_update_delay()) +
           max_watch_delay;
}

// Failures guarded against: the entry that reads the store for a data centre
// dies, is frozen or is rejected by the store (its last answer grows old, and
// whichever entry notices reads for itself); a store that lost its history
// reports a change to the reader after later changes, which the revision of the
// newest change does not show (each entry still reads for itself well within
// the bounds).
bool peer_protocol::peer_reads_store() const
{
    const base::instant now = this->state.clock();
    const base::duration bound =
        this->own_settings.bounds.shortest_update_delay() *
        peer_reliance_parts / all_parts;
    if (this->uses_dispatchers)
        return this->followed_reads_store(bound, now);
    return now - this->own_store_answer_at < bound &&
           now - this->peer_store_answer_at <= this->store_answer_max_age() &&
           this->table.has_store_reader_in_data_centre(now);
}

void peer_protocol::schedule_gossip()
{
    this->schedule.on_change();
    if (this->uses_dispatchers)
        this->send_replies();
    this->send_due();
    this->advance_suspect_inquiry(this->state.clock());
    this->set_timer();
}

// Restarts the timer if a message is due before its current expiry.
void peer_protocol::set_timer()
{
    const auto next = this->schedule.next_due();
    if (!next || (this->timer_due_at && *this->timer_due_at <= *next))
        return;
    this->timer_due_at = next;
    this->transport.start_timer(*next - this->state.clock());
}

void peer_protocol::on_timer()
{
    this->timer_due_at.reset();
    this->send_due();
    this->set_timer();
}

gossip::message peer_protocol::make_message(gossip::message_kind kind)
{
    const base::instant now = this->state.clock();
    gossip::message out;
    out.kind = kind;
    out.delegating = this->state.delegating;
    out.dispatching = this->is_serving_members();
    out.incarnation = this->incarnation;
    out.sequence = ++this->sequence;
    out.instance = this->own_settings.instance;
    out.data_centre = this->own_settings.data_centre;
    out.address =
        relay::asio::ip::make_address_v4(this->own_settings.ip).to_uint();
    out.cpu_millicores = strength_of(this->own_settings);
    out.congested = this->congestion_announced;
    if (this->duties_by_load)
        out.link_bytes_per_second = static_cast<std::uint64_t>(
            this->own_settings.link_bytes_per_second);
    out.uptime = now - this->started_at;
    out.stopping = this->state.stopping;
    out.configuration_revision = this->state.cluster.configuration_revision();
    out.store_revision = this->state.cluster.store_revision();
    out.change_revision = this->state.cluster.last_change_revision();
    out.change_count = this->state.cluster.change_count();
    out.state_digest = this->state.cluster.content_digest();
    out.store_age = this->own_store_age(now);
    if (this->several_regions)
        out.store_latency = this->duty.latency().value_or(base::duration(0));
    out.accepts_compressed = this->regions.spans_regions();
    return out;
}

gossip::message
peer_protocol::make_load_message(gossip::recipient_group recipients)
{
    const base::instant now = this->state.clock();
    gossip::message out = this->make_message(
        this->uses_dispatchers ? gossip::message_kind::dispatcher_load
                               : gossip::message_kind::load);
    out.upstream_loads = this->state.scheduler.own_load(now);
    out.queue_reports = this->state.scheduler.own_queue_reports();
    out.workspace_usage = this->state.limiter.own_usage(now);
    out.rate_limits = this->state.scheduler.announced_limits().recent(now);
    this->state_limit_needs(out, now);
    out.known_entries = this->table.select_known_entries(recipients, now);
    out.suspects = this->suspects_to_send(
        this->suspects_sent_at.at(static_cast<std::size_t>(recipients)), now);
    return out;
}

void peer_protocol::send_due()
{
    const base::instant now = this->state.clock();
    if (this->uses_dispatchers)
        return this->send_due_with_dispatchers(now);
    for (const gossip::recipient_group recipients :
         {gossip::recipient_group::own_data_centre,
          gossip::recipient_group::other_data_centres,
          gossip::recipient_group::other_regions}) {
        if (this->schedule.is_due(recipients, now))
            this->send_load(recipients);
    }
}

void peer_protocol::send_load(gossip::recipient_group recipients)
{
    const base::instant now = this->state.clock();
    this->schedule.on_sent(recipients, now);
    const std::vector<gossip::ipv4_address> to_tell =
        this->table.select_recipients(recipients, now);
    if (to_tell.empty())
        return;
    this->send_load_to(to_tell, this->make_load_message(recipients));
}

void peer_protocol::send_load_to(
    const std::vector<gossip::ipv4_address>& recipients,
    const gossip::message& load)
{
    std::string plain;
    std::string compressed;
    for (const gossip::ipv4_address address : recipients) {
        const bool compress = this->election.uses_region_interval(address);
        std::string& bytes = compress ? compressed : plain;
        if (bytes.empty())
            bytes = compress ? gossip::encode_compressed(load)
                             : gossip::encode(load);
        this->send_datagram(bytes, address);
    }
}

void peer_protocol::send_datagram(std::string_view bytes,
                                  gossip::ipv4_address to)
{
    if (this->election.is_in_other_region(to))
        this->state.metrics.add(telemetry::process_count{
            telemetry::counter::region_gossip_bytes, bytes.size()});
    this->transport.send(bytes, to);
}

void peer_protocol::tick(bool store_fails)
{
    const base::instant now = this->state.clock();
    this->observe_load(now);
    this->send_due();
    this->advance_suspect_inquiry(now);
    if (now - this->checked_at < check_interval)
        return;
    this->checked_at = now;
    this->update_role(now);
    this->update_followed(now);
    for (const std::string& peer : this->table.take_newly_silent(now)) {
        this->state.log.write(now, "peers", "peer_silent", {{"peer", peer}});
        this->state.scheduler.on_peer_lost(base::slot_id(peer));
        this->members.erase(base::slot_id(peer));
        this->events.member_lost(base::slot_id(peer));
    }
    this->update_counts(now);
    this->state.limiter.update_silent_peers(now);
    const auto newest =
        this->table.newest_store_source(now, this->source_rotation);
    const bool changed =
        newest &&
        newest->change_revision > this->state.cluster.last_change_revision();
    if (store_fails || changed)
        this->fetch_if_outdated(now);
}

} // namespace greengagedrum::entry
