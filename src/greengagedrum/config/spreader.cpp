#include <greengagedrum/config/spreader.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace greengagedrum::config
{

namespace
{

base::duration scaled(base::duration whole, double part)
{
    return base::duration(
        std::llround(static_cast<double>(whole.count()) * part));
}

// Between half and all of it, so that instances do not come back in step.
base::duration jittered(base::duration whole, double random)
{
    constexpr double half = 0.5;
    return scaled(whole, half + half * random);
}

// The best to ask first: furthest on, then near, then by slot.
bool better_source(const peer_view& left, const peer_view& right)
{
    return std::tuple(right.revision, !left.same_data_centre, left.slot) <
           std::tuple(left.revision, !right.same_data_centre, right.slot);
}

std::vector<peer_view> by_preference(std::span<const peer_view> peers)
{
    std::vector<peer_view> sorted(peers.begin(), peers.end());
    std::sort(sorted.begin(), sorted.end(), better_source);
    return sorted;
}

} // namespace

spreader::spreader(const spread_settings& given)
    : settings(given), budget(given.calls_per_second, given.calls_burst)
{
}

void spreader::step(const spread_event& event,
                    const held_state& state,
                    base::instant at,
                    std::vector<spread_action>& out)
{
    this->held = state;
    this->now = at;
    if (!this->started)
        this->started = at;
    std::visit([&](const auto& one) { this->on(one, out); }, event);
    this->settle();
}

void spreader::on(const spread_tick& tick, action_list& out)
{
    this->give_up_silent(tick.random, out);
    this->rank(tick.peers);
    if (!this->peers_tried) {
        this->start_with_peers(tick, out);
        return;
    }
    this->follow_service(tick, out);
    this->follow_peers(tick, out);
}

void spreader::on(const peer_answered& answer, action_list&)
{
    this->asked.erase(answer.slot);
    this->peers_heard = this->now;
}

void spreader::on(const peer_failed& failure, action_list&)
{
    if (this->asked.erase(failure.slot) > 0)
        ++this->counted.peer_failures;
}

void spreader::on(const service_answered& answer, action_list&)
{
    this->service_heard = this->now;
    if (!this->pending || this->pending->call != answer.call)
        return; // given up before it came; the store has it all the same
    this->pending.reset();
    this->failures = 0;
    this->service_tried = true;
    if (answer.revision >= this->held.revision)
        return;
    // It does not hold a watch back that asks for what it has not reached:
    // without a pause the next call would come at once.
    ++this->counted.service_older;
    this->service_due = this->now + this->settings.watch_wait;
}

void spreader::on(const service_failed& failure, action_list&)
{
    if (!this->pending || this->pending->call != failure.call)
        return;
    this->note_service_failure(failure.random);
}

void spreader::note_service_failure(double random)
{
    constexpr std::uint32_t doublings_max = 16;
    this->pending.reset();
    this->service_tried = true;
    ++this->counted.service_failures;
    const auto doublings = std::min(this->failures++, doublings_max);
    const auto grown =
        this->settings.backoff_min * (std::int64_t{1} << doublings);
    const auto pause =
        std::min<base::duration>(grown, this->settings.backoff_max);
    this->service_due = this->now + jittered(pause, random);
}

// An open connection can go silent for good while new ones work. It shows as
// an answer that is later than the service ever holds one back; giving the
// call up, and its connection, makes the next call a probe of a new one.
void spreader::give_up_silent(double random, action_list& out)
{
    if (this->pending && this->pending->give_up <= this->now) {
        out.emplace_back(drop_service_call{this->pending->call});
        this->note_service_failure(random);
    }
    const auto silent = std::erase_if(this->asked, [this](const auto& one) {
        return one.second <= this->now;
    });
    this->counted.peer_failures += silent;
}

// One that has lost the service is passed over, and one more watches for each
// such, since what cuts off one is likely to cut off its neighbours: with two
// at a time, a data centre that is half cut off would be searched for long.
// Failure guarded against: all watchers cut off in the moment of a change; it
// then came with the others' audit, up to half a minute late.
void spreader::rank(std::span<const peer_view> peers)
{
    std::uint64_t before = 0;
    std::uint64_t lost = 0;
    for (const peer_view& peer : peers) {
        if (peer.contact == base::platform_reachability::reachable)
            this->fleet_heard = this->now;
        if (!peer.same_data_centre)
            continue;
        const bool is_lost =
            peer.contact == base::platform_reachability::unreachable;
        lost += is_lost ? 1 : 0;
        before += !is_lost && peer.slot < this->settings.own ? 1 : 0;
    }
    this->is_watcher = before < this->settings.watchers + lost;
}

void spreader::start_with_peers(const spread_tick& tick, action_list& out)
{
    if (!this->first_asked && !tick.peers.empty()) {
        this->first_asked = true;
        auto sources = by_preference(tick.peers);
        const std::size_t count =
            std::min<std::size_t>(sources.size(), this->settings.first_peers);
        for (std::size_t i = 0; i < count; ++i)
            this->ask(sources[i].slot, 0, out);
        return;
    }
    const bool settled = this->first_asked && this->asked.empty();
    const base::duration patience = tick.others_listed
                                        ? this->settings.listed_patience
                                        : this->settings.first_patience;
    const bool alone =
        !this->first_asked && this->now - *this->started >= patience;
    this->peers_tried = settled || alone;
}

void spreader::follow_service(const spread_tick& tick, action_list& out)
{
    if (this->pending || this->now < this->service_due)
        return;
    if (!this->may_serve) {
        this->call_service(base::duration(0), out);
        return;
    }
    if (this->is_watcher) {
        // After a failure a call that is answered at once: it tells within
        // the patience whether the service is there.
        const bool probe = this->failures > 0;
        this->call_service(
            probe ? base::duration(0) : this->settings.watch_wait, out);
        return;
    }
    const bool due = this->audit_due && this->now >= *this->audit_due;
    if (!this->audit_due || due)
        this->audit_due =
            this->now + jittered(this->settings.audit_every, tick.random);
    if (due)
        this->call_service(base::duration(0), out);
}

void spreader::call_service(base::duration wait, action_list& out)
{
    if (!this->budget.take(this->now)) {
        ++this->counted.service_held;
        return;
    }
    ++this->counted.service_calls;
    ++this->last_call;
    const base::duration patience = this->settings.service_patience;
    this->pending = service_call{this->last_call, this->now + wait + patience};
    out.emplace_back(ask_service{
        this->last_call, this->held.complete ? this->held.revision : 0, wait});
}

void spreader::follow_peers(const spread_tick& tick, action_list& out)
{
    std::erase_if(this->not_before,
                  [this](const auto& one) { return one.second <= this->now; });
    constexpr std::size_t asked_max = 2; // a silent peer must not hold up all
    if (this->asked.size() >= asked_max || tick.peers.empty())
        return;
    const bool from_start = !this->held.complete || this->held.wants_history;
    const std::uint64_t since = from_start ? 0 : this->held.revision;
    for (const peer_view& peer : by_preference(tick.peers)) {
        if (peer.revision <= this->held.revision)
            break;
        if (this->may_ask(peer.slot)) {
            this->ask(peer.slot, since, out);
            return;
        }
    }
    if (this->now < this->poll_due || !this->asked.empty())
        return;
    this->poll_due =
        this->now + jittered(this->settings.poll_every, tick.random);
    const auto index = static_cast<std::size_t>(
        tick.random * static_cast<double>(tick.peers.size()));
    const peer_view& any = tick.peers[std::min(index, tick.peers.size() - 1)];
    if (this->may_ask(any.slot))
        this->ask(any.slot, since, out);
}

bool spreader::may_ask(base::slot_id slot) const
{
    return !this->not_before.contains(slot);
}

void spreader::ask(base::slot_id slot, std::uint64_t since, action_list& out)
{
    ++this->counted.peer_asks;
    this->asked[slot] = this->now + this->settings.peer_patience;
    // One that tells a revision which it then does not give must not be asked
    // at every tick.
    this->not_before[slot] = this->now + this->settings.peer_pause;
    out.emplace_back(ask_peer{slot, since});
}

void spreader::settle()
{
    this->may_serve =
        this->may_serve ||
        (this->held.complete && this->peers_tried && this->service_tried);
}

base::platform_reachability spreader::contact(base::instant at) const
{
    if (this->failures > 0)
        return base::platform_reachability::unreachable;
    const base::duration answered_within =
        2 * this->settings.watch_wait + this->settings.service_patience;
    const bool lately =
        this->service_heard && at - *this->service_heard <= answered_within;
    return this->is_watcher && lately ? base::platform_reachability::reachable
                                      : base::platform_reachability::unknown;
}

spread_ages spreader::ages(base::instant at) const
{
    spread_ages found;
    if (this->service_heard)
        found.service = at - *this->service_heard;
    if (this->peers_heard)
        found.peers = at - *this->peers_heard;
    const auto latest = std::max(this->service_heard, this->fleet_heard);
    if (latest)
        found.confirmed = at - *latest;
    return found;
}

} // namespace greengagedrum::config
