// Among many entries: which of them places requests, and what is made of what
// the others tell.
#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/peer_protocol.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// Without a dispatcher a member waits for the next one to answer, and then
// places by itself: what each knows alone fills upstreams that others filled.
constexpr base::duration wait_for_dispatcher = std::chrono::milliseconds(500);

// A greeting is answered once in this time; a start of all entries at once
// brings hundreds to each seed.
constexpr base::duration answer_gap = std::chrono::milliseconds(150);

// Between two questions of a member for what changed.
constexpr base::duration follow_gap = std::chrono::milliseconds(100);

// Entries that read the store as soon as their dispatcher may not.
constexpr std::size_t readers_in_line = 3;

// What a dispatcher told of limits holds until its successor has noticed that
// it is silent, and has asked those before it in line.
constexpr base::duration limits_hold = std::chrono::milliseconds(1000);

// Of messages to other data centres one in a hundred may be lost.
constexpr std::uint32_t farewells_told = 3;

// A process that has been awake for less may not have heard of all others.
constexpr base::duration peers_found_within = std::chrono::seconds(3);

// One that was started behind a cut may have heard few of those on its side.
// Whoever was named and not heard for so long is not there.
constexpr base::duration unheard_awaited = std::chrono::seconds(30);

// Entries are counted many times a second; after a longer pause the process was
// frozen.
constexpr base::duration stood_still = std::chrono::milliseconds(400);

// A member reports ten times a second.
constexpr base::duration reports_within = std::chrono::milliseconds(500);

// Of a dispatcher that is followed: the window in which its sends count.
constexpr base::duration last_sends_within = std::chrono::seconds(1);

} // namespace

// ---- Hearing --------------------------------------------------------------

void peer_protocol::take_suspects(const gossip::message& received,
                                  base::instant now)
{
    if (received.suspects.empty())
        return;
    const auto changes =
        this->state.scheduler.crash_suspects().merge(received.suspects, now);
    for (const quarantine::quarantine_state_change& one : changes)
        log_crash_suspect(this->state, one, received.instance);
}

void peer_protocol::take_load(const gossip::message& told, base::instant now)
{
    const base::slot_id slot(told.instance);
    if (this->large &&
        (this->state.delegating || told.data_centre == this->own.data_centre))
        this->answer_greeting(told, now);
    if (told.delegating) {
        this->state.scheduler.on_peer_lost(slot);
        this->state.limiter.forget_peer(slot);
        return;
    }
    if (this->state.delegating)
        return;
    if (this->large)
        this->counting[slot] = told.address;
    this->state.scheduler.on_peer_report(
        slot, told.upstream_loads, told.queue_reports, now);
    this->state.limiter.on_peer_report(
        slot, told.incarnation, told.workspace_usage, told.stopping, now);
    if (this->state.scheduler.waiting() > 0)
        this->events.peer_load_changed();
}

// Its limits are counted here from now on, and its load is what it shows.
void peer_protocol::take_report(const gossip::message& told, base::instant now)
{
    if (!this->large)
        return;
    const base::slot_id slot(told.instance);
    if (this->state.delegating) {
        // It is to look for another one.
        this->answer_greeting(told, now);
        return;
    }
    this->members[slot] = {told.address, now};
    this->state.limiter.forget_peer(slot);
    this->events.report_received(slot, told);
    this->answer_members();
}

void peer_protocol::take_reply(const gossip::message& told, base::instant now)
{
    this->take_limits(told, now);
    this->update_role(now);
    if (this->dispatcher != told.address)
        return;
    if (this->unanswered_report <= told.reply.acked_report)
        this->unanswered_report = 0;
    this->events.reply_received(told.reply);
}

// Of a dispatcher, to an entry next in line; and of one that stops, or that
// this one has taken over from.
void peer_protocol::take_limits(const gossip::message& told, base::instant now)
{
    const base::slot_id slot(told.instance);
    if (this->limits && this->limits->sender == slot)
        this->limits->sender_stopping = told.stopping;
    if (told.workspace_usage.empty())
        return;
    if (!this->state.delegating) {
        this->state.limiter.on_peer_report(
            slot, told.incarnation, told.workspace_usage, told.stopping, now);
        if (told.delegating)
            this->state.limiter.forget_peer(slot);
        return;
    }
    this->limits = {
        slot, told.incarnation, told.workspace_usage, told.stopping, now};
}

void peer_protocol::answer_greeting(const gossip::message& told,
                                    base::instant now)
{
    base::instant& answered = this->greetings_answered[told.address];
    if (now - answered < answer_gap)
        return;
    answered = now;
    gossip::message out =
        this->own_message(gossip::message_kind::dispatcher_query_reply);
    out.known_entries = this->order.select_known_entries(
        base::data_centre_id(told.data_centre), now);
    this->transport.send(gossip::encode(out), told.address);
}

// ---- The store --------------------------------------------------------------

// Its dispatcher reads the store for a member, which is passed all that
// changes.
void peer_protocol::follow(const gossip::message& told, base::instant now)
{
    this->dispatcher_digest = told.state_digest;
    if (told.state_digest == this->state.cluster.content_digest())
        this->passed = {told.incarnation, told.change_count};
    else if (!this->asking && now - this->asked_at >= follow_gap)
        this->ask_dispatcher(told, now);
}

void peer_protocol::ask_dispatcher(const gossip::message& told,
                                   base::instant now)
{
    const std::uint64_t known =
        this->passed.life == told.incarnation ? this->passed.changes : 0;
    this->ask_for_items(told.address, {known, told.incarnation}, now);
}

// Failure guarded against: the store turns the dispatcher away, or it hangs. A
// few of those next in line read then, and all others once a change may be due.
// With all of them reading now and then, 295 entries made 6,500 calls in 48 s.
bool peer_protocol::dispatcher_reads(base::duration bound,
                                     base::instant now) const
{
    if (!this->dispatcher ||
        this->dispatcher_digest != this->state.cluster.content_digest())
        return false;
    const base::duration age = now - this->peer_read_at;
    const bool next_in_line =
        this->order.higher_ranked_count(now) < readers_in_line;
    const base::duration lately = this->read_lately();
    return age <= (next_in_line ? lately : std::max(bound, lately));
}

// ---- Roles ----------------------------------------------------------------

bool peer_protocol::is_serving() const
{
    return this->large && !this->state.delegating && !this->members.empty();
}

void peer_protocol::update_role(base::instant now)
{
    const bool was_large =
        std::exchange(this->large, this->order.uses_dispatchers(now));
    if (this->large && !was_large)
        this->state.limiter.forget_peers();
    if (!this->large) {
        this->dispatcher.reset();
        this->set_role(false, now);
        this->schedule.set_full_mesh_intervals(
            this->table.live_count_in_data_centre(now), this->live_peers());
        return;
    }
    this->order.set_dispatching(this->is_serving());
    const auto next = this->order.dispatcher(now);
    const auto former = std::exchange(this->dispatcher, next);
    if (next != former) {
        this->state.log.write(
            now,
            "peers",
            "dispatcher_changed",
            {{"dispatcher",
              next ? relay::asio::ip::address_v4(*next).to_string()
                   : std::string("none")},
             {"entries", this->order.entry_count(now)}});
        this->schedule.on_change();
    }
    if (next)
        this->dispatcher_at = now;
    const bool may_come = !next &&
                          now - this->dispatcher_at < wait_for_dispatcher &&
                          !this->order.probe_targets(now).empty();
    this->set_role(next.has_value() || may_come, now);
    if (this->state.delegating)
        return this->schedule.set_member_intervals();
    this->schedule.set_dispatcher_intervals();
    // It would ask this entry again in two seconds only, and place meanwhile.
    if (former)
        this->greet({*former}, now);
}

void peer_protocol::set_role(bool delegating, base::instant now)
{
    if (delegating == this->state.delegating)
        return;
    if (delegating) {
        this->farewells = farewells_told;
        this->hand_over_limits(now);
        this->members.clear();
        return this->events.delegation_started();
    }
    this->placing_since = now;
    const bool handed =
        this->limits && now - this->limits->received_at <= limits_hold;
    const bool planned = handed && this->limits->sender_stopping;
    this->unheard_alone =
        planned ? 0 : this->order.known_count_in_data_centre(now);
    this->events.delegation_ended(
        this->order.never_heard_data_centre_count(now) + this->unheard_alone,
        handed ? &*this->limits : nullptr);
    this->limits.reset();
}

// Failure guarded against: all entries start, or wake, at once before cold
// upstreams, and each sends them the whole of what they bear, until it has
// heard of the others.
void peer_protocol::note_awake(base::instant now)
{
    if (now - this->counted_at > stood_still)
        this->awake_since = now;
    this->counted_at = now;
    if (!this->places_for_half(now))
        this->half_since = now;
}

// At most two entries of a data centre can place for half of it at a time.
bool peer_protocol::places_for_half(base::instant now) const
{
    if (this->state.delegating)
        return false;
    return 2 * (this->members_heard(now) + 1) >=
           this->order.known_count_in_data_centre(now) + 1;
}

std::size_t peer_protocol::members_heard(base::instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->members.begin(), this->members.end(), [&](const auto& one) {
            return now - one.second.heard_at <= reports_within;
        }));
}

// Of the requests that cold upstreams of the own data centre get. Among many
// entries they are the dispatcher's, once the one before it has sent its last.
traffic::slow_start_share peer_protocol::cold_share(base::instant now) const
{
    const base::duration awake = now - this->awake_since;
    const bool others_unheard = this->large
                                    ? this->table.has_never_heard_seed()
                                    : this->table.never_heard_count() > 0;
    if (awake < (others_unheard ? unheard_awaited : peers_found_within))
        return {};
    if (this->large)
        return now - this->half_since >= last_sends_within
                   ? traffic::slow_start_share{0, 1}
                   : traffic::slow_start_share{};
    const auto nearby = this->table.rank_in_data_centre(now);
    return {static_cast<std::uint32_t>(nearby.lower_count),
            static_cast<std::uint32_t>(nearby.entry_count)};
}

void peer_protocol::share_cold_upstreams(base::instant now)
{
    const traffic::slow_start_share next = this->cold_share(now);
    if (next == this->share)
        return;
    this->share = next;
    this->state.scheduler.set_slow_start_share(next);
    this->state.log.write(now,
                          "peers",
                          "cold_upstreams_shared",
                          {{"rank", next.rank}, {"sharers", next.entries}});
}

} // namespace greengagedrum::entry
