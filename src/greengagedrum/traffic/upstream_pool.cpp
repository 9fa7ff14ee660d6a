#include <greengagedrum/traffic/upstream_pool.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::traffic
{

namespace
{

// Shortest time between two probes of one service. A network partition makes
// dozens of upstreams unreachable at once. When each was probed every second on
// its own, nearly every request of the entries on the other side of the
// partition was delayed by a connect timeout.
constexpr base::duration probe_interval = std::chrono::milliseconds(250);

// A peer reports at least five times a second. After this time without a report
// it is dead, paused or partitioned, and its active requests have ended or are
// about to.
constexpr base::duration peer_silence = std::chrono::milliseconds(1500);

// Bounds how late a silent peer is noticed. Each check iterates over all peers.
constexpr base::duration silence_check_interval = std::chrono::milliseconds(50);

// With many entries, load reports are old when they arrive, and all entries
// with the same view choose the same upstream. Above this number of entries,
// the choice is random among the upstreams whose expected finish times differ
// by less than a share, which grows up to the maximum below.
constexpr double many_entries_above = 10;
constexpr double finish_tolerance_max = 0.6;

} // namespace

upstream_state* upstream_pool::find(base::upstream_id id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

void upstream_pool::join(const routing::published_upstream& entry,
                         base::instant now)
{
    const auto [found, added] = this->upstreams.try_emplace(entry.id);
    upstream_state& own = found->second;
    const service_member member{entry.id, &own};
    if (added || !own.listed) {
        this->services[entry.service].members.push_back(member);
        own.paced_at = now;
    } else if (own.service != entry.service) {
        this->remove_member(own.service, entry.id);
        this->services[entry.service].members.push_back(member);
    }
    own.service = entry.service;
    own.slots = entry.slots;
    own.listed = true;
    own.version = entry.version;
    own.data_centre = base::data_centre_id(entry.data_centre);
    this->locate(own);
    own.cold_until = now + entry.warmup;
    if (!added)
        return;
    this->reserve_new_slots(entry.id, own, now);
    // Peers may have reported load on the upstream before it was known here.
    for (const auto& [peer, message] : this->peer_loads) {
        for (const upstream_load& use : message.uses) {
            if (use.upstream != entry.id)
                continue;
            own.peer_requests += use.requests;
            own.peer_pending_prefill += use.pending_prefill_tokens;
            own.speed.add_peer_mean(use.event_gap, now);
        }
    }
}

void upstream_pool::remove_member(base::upstream_class_id service,
                                  base::upstream_id id)
{
    std::erase_if(
        this->services[service].members,
        [&](const service_member& member) { return member.id == id; });
}

void upstream_pool::locate(upstream_state& one) const
{
    one.is_near =
        one.data_centre == base::data_centre_id(this->identity.data_centre);
    one.away = this->regions.to(one.data_centre);
    one.region = this->regions.region_of(one.data_centre);
}

void upstream_pool::set_regions(const routing::region_map& all)
{
    this->regions = routing::region_distances(
        base::data_centre_id(this->identity.data_centre), all);
    for (auto& [id, one] : this->upstreams)
        this->locate(one);
}

// Failure guarded against: 80 entries with 90 engines at the usual load, with a
// third of all slots free. All entries chose the engine that looked best, of
// which each knew of one to four requests, and their requests queued there: a
// third of all requests came late.
void upstream_pool::set_entry_count(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
    this->finish_tolerance =
        finish_tolerance_max *
        std::max(0.0,
                 1 - many_entries_above / static_cast<double>(this->entries));
}

void upstream_pool::record_connect(base::upstream_id upstream,
                                   base::duration took)
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end() &&
        found->second.away == routing::distance::other_region)
        this->crossings.record_connect(found->second.region, took);
}

// The upstream is kept until its last request has ended.
void upstream_pool::leave(base::upstream_id id)
{
    upstream_state* own = this->find(id);
    if (own == nullptr || !own->listed)
        return;
    own->listed = false;
    this->reach.forget_upstream(id);
    this->remove_member(own->service, id);
    if (own->own_requests == 0)
        this->upstreams.erase(id);
}

bool upstream_pool::has_upstream(
    base::upstream_class_id service,
    const routing::data_centre_constraint& allowed_data_centres,
    base::version_id version) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() &&
           std::any_of(found->second.members.begin(),
                       found->second.members.end(),
                       [&](const service_member& member) {
                           return is_available(
                               *member.state, allowed_data_centres, version);
                       });
}

bool upstream_pool::is_available(
    base::upstream_id id,
    base::upstream_class_id service,
    const routing::data_centre_constraint& allowed_data_centres,
    base::version_id version) const
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && found->second.listed &&
           found->second.service == service &&
           is_available(found->second, allowed_data_centres, version);
}

bool upstream_pool::is_available(
    const upstream_state& one,
    const routing::data_centre_constraint& allowed_data_centres,
    base::version_id version)
{
    return allowed_data_centres.allows(one.data_centre) &&
           (version.empty() || one.version == version);
}

bool upstream_pool::fits(base::upstream_id id,
                         const upstream_state& one,
                         const dispatch_query& query)
{
    return std::find(query.tried.begin(), query.tried.end(), id) ==
               query.tried.end() &&
           query.allowed_data_centres.allows(one.data_centre) &&
           (query.version.empty() || one.version == query.version);
}

bool upstream_pool::has_usable(const dispatch_query& query,
                               base::upstream_id except,
                               bool even_unreachable) const
{
    const auto found = this->services.find(query.service);
    return found != this->services.end() &&
           std::any_of(
               found->second.members.begin(),
               found->second.members.end(),
               [&](const service_member& member) {
                   const upstream_state& one = *member.state;
                   return member.id != except && fits(member.id, one, query) &&
                          (even_unreachable || !one.outliers.unreachable());
               });
}

base::version_id upstream_pool::version_of(base::upstream_id id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? base::version_id()
                                          : found->second.version;
}

void upstream_pool::count_peer(const peer_load& message, base::instant now)
{
    for (const upstream_load& use : message.uses) {
        upstream_state* own = this->find(use.upstream);
        if (own == nullptr)
            continue;
        own->peer_requests += use.requests;
        own->peer_pending_prefill += use.pending_prefill_tokens;
        own->speed.add_peer_mean(use.event_gap, now);
    }
}

void upstream_pool::uncount_peer(const peer_load& message)
{
    for (const upstream_load& use : message.uses) {
        upstream_state* own = this->find(use.upstream);
        if (own == nullptr)
            continue;
        own->peer_requests -= std::min(own->peer_requests, use.requests);
        own->peer_pending_prefill -=
            std::min(own->peer_pending_prefill, use.pending_prefill_tokens);
        own->speed.remove_peer_mean(use.event_gap);
    }
}

void upstream_pool::on_peer_report(base::slot_id peer,
                                   std::span<const upstream_load> uses,
                                   base::instant now)
{
    peer_load& message = this->peer_loads[peer];
    std::vector<std::pair<base::upstream_id, std::uint32_t>> before;
    for (const upstream_load& use : message.uses) {
        if (const upstream_state* one = this->find(use.upstream))
            before.emplace_back(use.upstream, one->peer_requests);
    }
    this->uncount_peer(message);
    message.uses.assign(uses.begin(), uses.end());
    message.at = now;
    this->count_peer(message, now);
    for (const auto& [id, others] : before) {
        if (upstream_state* one = this->find(id))
            this->reserve_freed_slots(id, *one, others, now);
    }
}

void upstream_pool::on_peer_lost(base::slot_id peer)
{
    const auto found = this->peer_loads.find(peer);
    if (found == this->peer_loads.end())
        return;
    this->uncount_peer(found->second);
    this->peer_loads.erase(found);
}

void upstream_pool::forget_silent_peers(base::instant now)
{
    if (now < this->silence_checked_at + silence_check_interval)
        return;
    this->silence_checked_at = now;
    std::vector<base::slot_id> silent;
    for (const auto& [peer, message] : this->peer_loads) {
        if (now - message.at > peer_silence)
            silent.push_back(peer);
    }
    for (const base::slot_id peer : silent)
        this->on_peer_lost(peer);
}

base::duration upstream_pool::oldest_load_report(base::instant now) const
{
    base::duration oldest{0};
    for (const auto& [peer, message] : this->peer_loads)
        oldest = std::max(oldest, now - message.at);
    return oldest;
}

void upstream_pool::sent(const dispatch_choice& where,
                         std::uint32_t prompt_tokens,
                         base::instant now)
{
    upstream_state* own = this->find(where.upstream);
    if (own == nullptr)
        return;
    own->own_requests += 1;
    own->own_pending_prefill += prompt_tokens;
    if (this->services[own->service].cold_rate > 0)
        own->recent.add(now);
    if (this->limits.limit_of(where.upstream, now) <= 0 ||
        !this->permits.use(where.upstream, now))
        this->limits.on_sent(where.upstream, now);
    if (!where.probe)
        return;
    own->outliers.probe_sent();
    this->services[own->service].probe_at = now + probe_interval;
}

base::instant upstream_pool::progress_at(base::upstream_id id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? base::instant()
                                          : found->second.progress_at;
}

void upstream_pool::ended(base::upstream_id id, std::uint32_t unread)
{
    upstream_state* own = this->find(id);
    if (own == nullptr)
        return;
    own->own_requests -= std::min(own->own_requests, 1U);
    own->own_pending_prefill -= std::min(own->own_pending_prefill, unread);
    if (own->own_requests == 0 && !own->listed)
        this->upstreams.erase(id);
}

std::optional<suspicion_changed>
upstream_pool::record_success(base::upstream_id id)
{
    upstream_state* own = this->find(id);
    if (own == nullptr)
        return std::nullopt;
    service_state& all = this->services[own->service];
    all.failure_rate -= service_weight * all.failure_rate;
    const bool cleared = own->outliers.suspected();
    own->outliers.record_success();
    if (!cleared)
        return std::nullopt;
    return suspicion_changed{id,
                             false,
                             to_string(own->outliers.last_failure()),
                             own->outliers.failure_rate()};
}

std::optional<suspicion_changed> upstream_pool::record_failure(
    base::upstream_id id, failure_kind what, base::instant now)
{
    upstream_state* own = this->find(id);
    if (own == nullptr)
        return std::nullopt;
    service_state& all = this->services[own->service];
    const bool was = own->outliers.suspected();
    own->outliers.record_failure(what, all.failure_rate, now);
    if (what == failure_kind::failing)
        all.failure_rate += service_weight * (1 - all.failure_rate);
    if (was || !own->outliers.suspected())
        return std::nullopt;
    return suspicion_changed{
        id, true, to_string(what), own->outliers.failure_rate()};
}

void upstream_pool::probe_inconclusive(base::upstream_id id)
{
    if (upstream_state* own = this->find(id))
        own->outliers.probe_inconclusive();
}

std::vector<upstream_load> upstream_pool::own_load(base::instant now) const
{
    std::vector<upstream_load> out;
    for (const auto& [id, one] : this->upstreams) {
        if (one.own_requests > 0)
            out.push_back({id,
                           one.own_requests,
                           one.own_pending_prefill,
                           one.speed.own_gap(now)});
    }
    return out;
}

} // namespace greengagedrum::traffic
