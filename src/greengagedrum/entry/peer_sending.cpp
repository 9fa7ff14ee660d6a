// Sending in a large fleet: who sends which message to whom, and when.
#include <greengagedrum/entry/peer_protocol.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// Interval of messages that are sent although nothing has changed.
constexpr base::duration heartbeat_interval = std::chrono::milliseconds(100);

// Entries that may have restarted are sent a dispatcher query, a few at a time:
// a restarted entry may know only seeds that are down.
constexpr base::duration query_interval = std::chrono::milliseconds(500);
constexpr std::size_t queries_at_once = 4;

// The same for seeds of other regions: the dispatchers there are sent to
// anyway, and after a long partition any seed is enough to find them again.
constexpr base::duration region_query_interval = std::chrono::seconds(5);

// Interval of messages that repeat unchanged crash suspects.
constexpr base::duration suspects_interval = std::chrono::milliseconds(250);

// Heartbeats are sent to members whose last report is at most this old.
constexpr base::duration member_max_silence = std::chrono::milliseconds(1500);

} // namespace

// Requests are numbered from one in each process, so what an answer says of
// them holds only for the process that it names.
gossip::message peer_protocol::make_answer(gossip::message_kind kind,
                                           base::incarnation recipient)
{
    gossip::message out = this->make_message(kind);
    out.recipient = recipient;
    return out;
}

bool peer_protocol::is_for_another_process(
    const gossip::message& received) const
{
    return received.recipient != base::incarnation() &&
           received.recipient != this->incarnation;
}

// Unchanged suspects are repeated at intervals, so that an entry that has just
// started, or was partitioned, learns of them within a second.
std::vector<quarantine::suspect_report>
peer_protocol::suspects_to_send(base::instant& sent_all_at, base::instant now)
{
    quarantine::suspect_table& suspects =
        this->state.scheduler.crash_suspects();
    if (suspects.empty())
        return {};
    const bool all = now - sent_all_at >= suspects_interval;
    if (all)
        sent_all_at = now;
    return suspects.collect_reports(now, all);
}

// The members switch to another dispatcher as soon as they learn of the
// shutdown, so the same message already carries the limit state to the standby
// entries.
void peer_protocol::begin_stop()
{
    if (this->uses_dispatchers && !this->state.delegating)
        this->send_to_members(this->state.clock());
    this->schedule_gossip();
}

// Failure guarded against: a dispatcher is frozen for some seconds, resumes,
// and replaces the entry that had taken over. The usage that the latter
// admitted meanwhile was sent to other data centres only, so the resumed
// dispatcher granted the same part of the limit again.
void peer_protocol::hand_over_limits(base::instant now)
{
    if (!this->dispatcher)
        return;
    gossip::message out =
        this->make_answer(gossip::message_kind::reply,
                          this->table.incarnation_of(*this->dispatcher));
    out.delegating = true;
    out.workspace_usage = this->state.limiter.window_usage(now);
    this->send_datagram(gossip::encode(out), *this->dispatcher);
}

void peer_protocol::send_due_with_dispatchers(base::instant now)
{
    using gossip::recipient_group;
    const bool heartbeat_due = now - this->heartbeat_at >= heartbeat_interval;
    if (heartbeat_due)
        this->heartbeat_at = now;
    if (this->state.delegating) {
        const bool changed =
            this->schedule.is_due(recipient_group::own_data_centre, now);
        if (changed || this->is_report_overdue(now)) {
            this->schedule.on_sent(recipient_group::own_data_centre, now);
            this->send_report(now);
        }
    } else if (heartbeat_due) {
        this->schedule.on_sent(recipient_group::own_data_centre, now);
        this->send_to_members(now);
    }
    if (!this->state.delegating)
        this->send_replies();
    if (heartbeat_due)
        this->probe_silent(now);
    const bool sends_far =
        !this->state.delegating || this->role_notices_left > 0;
    for (const recipient_group recipients :
         {recipient_group::other_data_centres,
          recipient_group::other_regions}) {
        if (sends_far && this->schedule.is_due(recipients, now))
            this->send_to_dispatchers(recipients, now);
        else if (this->state.delegating)
            this->schedule.on_sent(recipients, now);
    }
}

// Failure guarded against: a report is lost, and with it a new request, or the
// end of a request, whose slot then stays idle until the next heartbeat.
bool peer_protocol::is_report_overdue(base::instant now) const
{
    return this->unanswered_report > 0 &&
           now - this->reported_at >= dispatch::resend_interval;
}

void peer_protocol::send_report(base::instant now)
{
    if (!this->dispatcher)
        return;
    gossip::message out = this->make_message(gossip::message_kind::report);
    out.upstream_loads = this->state.scheduler.own_load(now);
    out.report = this->events.make_report();
    out.suspects = this->suspects_to_send(
        this->suspects_sent_at.at(
            static_cast<std::size_t>(gossip::recipient_group::own_data_centre)),
        now);
    out.rate_limits = this->state.scheduler.announced_limits().recent(now);
    this->reported_at = now;
    this->unanswered_report = out.sequence;
    this->election.on_probe_sent(*this->dispatcher, now);
    this->send_datagram(gossip::encode(out), *this->dispatcher);
}

// Candidates that rank before the present dispatcher are sent a complete
// report, so that the first of them to answer can start to dispatch.
void peer_protocol::probe_silent(base::instant now)
{
    const std::vector<gossip::ipv4_address> targets =
        this->election.probe_targets(now);
    if (!targets.empty()) {
        gossip::message out = this->make_message(gossip::message_kind::report);
        if (this->state.delegating && !this->dispatcher) {
            out.upstream_loads = this->state.scheduler.own_load(now);
            out.report = this->events.make_report();
        }
        const std::string bytes = gossip::encode(out);
        for (const gossip::ipv4_address address : targets) {
            this->election.on_probe_sent(address, now);
            this->send_datagram(bytes, address);
        }
    }
    if (now - this->query_sent_at >= query_interval)
        this->query_silent(now);
}

void peer_protocol::query_silent(base::instant now)
{
    this->query_sent_at = now;
    std::vector<gossip::ipv4_address> targets = this->table.silent_seeds(now);
    const bool to_regions =
        now - this->region_query_sent_at >= region_query_interval;
    if (to_regions)
        this->region_query_sent_at = now;
    std::erase_if(targets, [&](gossip::ipv4_address address) {
        return !this->is_query_due(address, to_regions);
    });
    if (!this->state.delegating) {
        const std::vector<gossip::ipv4_address> silent =
            this->election.silent_in_data_centre(now);
        for (std::size_t count = 0;
             count < std::min(queries_at_once, silent.size());
             ++count)
            targets.push_back(silent.at(this->next_to_query++ % silent.size()));
    }
    if (!targets.empty())
        this->send_dispatcher_query(targets, now);
}

// Failure guarded against: members hear only their dispatcher, so their seeds
// count as silent, and each member sent a query to each seed of another region
// every 500 ms. Once a member has a dispatcher it leaves these seeds to it.
bool peer_protocol::is_query_due(gossip::ipv4_address silent_seed,
                                 bool to_other_regions) const
{
    if (!this->election.was_heard_from_other_region(silent_seed))
        return true;
    if (this->state.delegating)
        return !this->dispatcher;
    return to_other_regions;
}

void peer_protocol::send_dispatcher_query(
    const std::vector<gossip::ipv4_address>& targets, base::instant now)
{
    gossip::message out =
        this->make_message(gossip::message_kind::dispatcher_query);
    out.known_entries = this->election.select_known_entries(
        base::data_centre_id(this->own_settings.data_centre), now);
    const std::string bytes = gossip::encode(out);
    for (const gossip::ipv4_address address : targets)
        this->send_datagram(bytes, address);
}

void peer_protocol::send_to_members(base::instant now)
{
    const std::vector<gossip::known_entry> known =
        this->election.select_known_entries(
            base::data_centre_id(this->own_settings.data_centre), now);
    const std::vector<gossip::ipv4_address> standby =
        this->election.standby_entries(now);
    const auto suspects =
        this->suspects_to_send(this->member_suspects_sent_at, now);
    const auto rate_limits =
        this->state.scheduler.announced_limits().recent(now);
    for (const auto& [slot, one] : this->members) {
        if (now - one.heard_at > member_max_silence)
            continue;
        gossip::message out =
            this->make_answer(gossip::message_kind::reply, one.incarnation);
        out.known_entries = known;
        out.suspects = suspects;
        out.rate_limits = rate_limits;
        out.reply = this->events.make_reply(slot);
        if (std::find(standby.begin(), standby.end(), one.address) !=
            standby.end())
            out.workspace_usage = this->state.limiter.window_usage(now);
        this->send_datagram(gossip::encode(out), one.address);
    }
}

void peer_protocol::send_replies()
{
    if (this->state.delegating)
        return;
    for (const base::slot_id slot : this->events.members_awaiting_reply()) {
        const auto found = this->members.find(slot);
        gossip::message out = this->make_message(gossip::message_kind::reply);
        out.reply = this->events.make_reply(slot);
        if (found == this->members.end())
            continue;
        out.recipient = found->second.incarnation;
        this->send_datagram(gossip::encode(out), found->second.address);
    }
}

// The notices of an entry that no longer dispatches go to all at once.
void peer_protocol::send_to_dispatchers(gossip::recipient_group recipients,
                                        base::instant now)
{
    this->schedule.on_sent(recipients, now);
    std::vector<gossip::ipv4_address> far =
        this->election.remote_dispatcher_candidates(now);
    if (this->state.delegating) {
        if (recipients == gossip::recipient_group::other_regions)
            return;
        this->role_notices_left -= 1;
    } else {
        const bool to_regions =
            recipients == gossip::recipient_group::other_regions;
        std::erase_if(far, [&](gossip::ipv4_address address) {
            return this->election.uses_region_interval(address) != to_regions;
        });
    }
    if (far.empty())
        return;
    gossip::message out = this->make_load_message(recipients);
    out.known_entries = this->election.select_known_entries(
        base::data_centre_id(this->own_settings.data_centre), now);
    for (const gossip::ipv4_address address : far)
        this->election.on_probe_sent(address, now);
    this->send_load_to(far, out);
}

} // namespace greengagedrum::entry
