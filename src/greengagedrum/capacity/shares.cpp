#include <greengagedrum/capacity/shares.hpp>

#include <algorithm>

namespace greengagedrum::capacity
{

namespace
{

// Ten heartbeats; older reports no longer describe a peer's present load.
constexpr base::duration peer_view_lifetime = std::chrono::seconds(5);

// A decrease of demand is reported after it has lasted this long.
constexpr base::duration peak_hold_time = std::chrono::seconds(2);

// One digest in this many is complete.
constexpr std::uint64_t complete_digest_period = 10;

// Number of units into which a workspace's limit is split.
constexpr std::uint32_t limit_units = 64;

bool same_figures(const upstream_usage& left, const upstream_usage& right)
{
    return left.in_flight == right.in_flight &&
           left.tokens_in_flight == right.tokens_in_flight &&
           left.overdraft == right.overdraft;
}

bool same_figures(const class_demand& left, const class_demand& right)
{
    return std::equal(std::begin(left.waiting),
                      std::end(left.waiting),
                      std::begin(right.waiting)) &&
           std::equal(std::begin(left.running),
                      std::end(left.running),
                      std::begin(right.running));
}

bool is_idle(const limit_usage& usage)
{
    return usage.in_flight == 0 && usage.tokens_per_second == 0;
}

bool same_figures(const limit_usage& left, const limit_usage& right)
{
    return left.in_flight == right.in_flight &&
           left.tokens_per_second == right.tokens_per_second;
}

// The items of `now` that differ from those in `last_sent` or are missing
// there.
template <class Key, class Value, class KeyOf>
std::vector<Value> changed(const std::vector<Value>& now,
                           const std::map<Key, Value>& last_sent,
                           const KeyOf& key_of)
{
    std::vector<Value> out;
    for (const Value& value : now) {
        const auto known = last_sent.find(key_of(value));
        if (known == last_sent.end() || !same_figures(known->second, value))
            out.push_back(value);
    }
    return out;
}

std::uint32_t divide_rounding_up(std::uint64_t value, std::uint64_t divisor)
{
    return static_cast<std::uint32_t>((value + divisor - 1) / divisor);
}

constexpr auto upstream_usage_key = [](const upstream_usage& usage) {
    return usage.upstream;
};
constexpr auto demand_key = [](const class_demand& demand) {
    return demand.upstream_class;
};
constexpr auto limit_usage_key = [](const limit_usage& usage) {
    return std::pair(usage.workspace, usage.kind);
};

} // namespace

void shares::set_entries(std::set<base::slot_id> live)
{
    live.insert(this->own_slot);
    this->entries = std::move(live);
}

void shares::on_load_digest(base::slot_id peer,
                            base::incarnation incarnation,
                            const load_digest& digest,
                            base::instant now)
{
    if (peer == this->own_slot)
        return;
    load_view& known = this->peers[peer];
    if (incarnation < known.incarnation)
        return; // from an earlier process in that slot
    if (known.incarnation < incarnation) {
        known = load_view{};
        known.incarnation = incarnation;
    }
    if (known.sequence != 0 && digest.sequence <= known.sequence)
        return; // out of order or duplicate
    known.updated_at = now;
    apply(known, digest);
}

void shares::remove_peer(base::slot_id peer)
{
    this->peers.erase(peer);
}

void shares::apply(load_view& known, const load_digest& digest)
{
    known.sequence = digest.sequence;
    if (digest.complete) {
        known.uses.clear();
        known.demands.clear();
        known.limits.clear();
    }
    for (const upstream_usage& usage : digest.uses)
        known.uses.insert_or_assign(upstream_usage_key(usage), usage);
    for (const class_demand& demand : digest.demands)
        known.demands.insert_or_assign(demand_key(demand), demand);
    for (const limit_usage& usage : digest.limits) {
        if (is_idle(usage))
            known.limits.erase(limit_usage_key(usage));
        else
            known.limits.insert_or_assign(limit_usage_key(usage), usage);
    }
}

class_demand shares::with_held_peaks(class_demand demand, base::instant now)
{
    auto& held = this->peaks[demand.upstream_class];
    for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
        const std::uint32_t value = demand.waiting[tier] + demand.running[tier];
        peak& highest = held[tier];
        if (value >= highest.value || now - highest.since >= peak_hold_time)
            highest = peak{value, now};
        demand.waiting[tier] =
            highest.value - std::min(highest.value, demand.running[tier]);
    }
    return demand;
}

load_digest shares::compose(const load_digest& current, base::instant now)
{
    load_digest held = current;
    for (class_demand& demand : held.demands)
        demand = this->with_held_peaks(demand, now);
    load_digest out;
    out.sequence = this->last_sent.sequence + 1;
    out.complete = out.sequence % complete_digest_period == 1;
    if (out.complete) {
        out.uses = held.uses;
        out.demands = held.demands;
        out.limits = held.limits;
        std::erase_if(out.limits, is_idle);
    } else {
        out.uses = changed(held.uses, this->last_sent.uses, upstream_usage_key);
        out.demands =
            changed(held.demands, this->last_sent.demands, demand_key);
        out.limits =
            changed(held.limits, this->last_sent.limits, limit_usage_key);
        std::erase_if(out.limits, [this](const limit_usage& usage) {
            return is_idle(usage) &&
                   !this->last_sent.limits.contains(limit_usage_key(usage));
        });
    }
    this->last_sent.updated_at = now;
    apply(this->last_sent, out);
    return out;
}

const shares::load_view* shares::recent_view(base::slot_id slot,
                                             base::instant now) const
{
    if (slot == this->own_slot)
        return this->last_sent.sequence == 0 ? nullptr : &this->last_sent;
    const auto found = this->peers.find(slot);
    if (found == this->peers.end() ||
        now - found->second.updated_at > peer_view_lifetime)
        return nullptr;
    return &found->second;
}

bool shares::has_recent_peer(base::instant now) const
{
    return std::any_of(
        this->entries.begin(), this->entries.end(), [&](base::slot_id slot) {
            return slot != this->own_slot &&
                   this->recent_view(slot, now) != nullptr;
        });
}

std::uint32_t shares::upstream_share(base::upstream_id upstream,
                                     base::upstream_class_id upstream_class,
                                     std::uint32_t limit,
                                     std::uint32_t class_total,
                                     base::instant now) const
{
    const bool has_recent_peers = this->has_recent_peer(now);
    const std::uint32_t equal_share =
        divide_rounding_up(limit, this->entries.size());
    std::vector<entry_demand> demands;
    std::size_t own_index = 0;
    for (const base::slot_id slot : this->entries) {
        if (slot == this->own_slot)
            own_index = demands.size();
        entry_demand entry;
        entry.slot = slot;
        const load_view* known =
            has_recent_peers ? this->recent_view(slot, now) : nullptr;
        if (known == nullptr) {
            entry.cumulative.fill(equal_share);
        } else if (const auto demand = known->demands.find(upstream_class);
                   demand != known->demands.end()) {
            std::uint64_t sum = 0;
            for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
                sum += demand->second.waiting[tier];
                sum += demand->second.running[tier];
                entry.cumulative[tier] = divide_rounding_up(
                    sum * limit, std::max<std::uint32_t>(1, class_total));
            }
        }
        demands.push_back(entry);
    }
    return split(limit, demands, upstream.value)[own_index];
}

double shares::limit_share(base::workspace_id workspace,
                           base::kind_id kind,
                           base::instant now) const
{
    const limit_id limit{workspace, kind};
    return this->limit_fraction(limit, workspace.value ^ kind.value, now);
}

double shares::idle_limit_share(base::instant now) const
{
    return this->limit_fraction({}, 0, now);
}

std::set<shares::limit_id> shares::used_limits(base::instant now) const
{
    std::set<limit_id> out;
    for (const base::slot_id slot : this->entries) {
        const load_view* known = this->recent_view(slot, now);
        if (known == nullptr)
            continue;
        for (const auto& [limit, usage] : known->limits)
            out.insert(limit);
    }
    return out;
}

double shares::limit_fraction(const limit_id& limit,
                              std::uint64_t salt,
                              base::instant now) const
{
    const bool has_recent_peers = this->has_recent_peer(now);
    const std::uint32_t equal_share =
        divide_rounding_up(limit_units, this->entries.size());
    std::uint64_t total = 0;
    std::vector<std::pair<base::slot_id, std::uint64_t>> usages;
    for (const base::slot_id slot : this->entries) {
        const load_view* known =
            has_recent_peers ? this->recent_view(slot, now) : nullptr;
        std::uint64_t usage = 0;
        if (known != nullptr) {
            const auto found = known->limits.find(limit);
            if (found != known->limits.end())
                usage = std::uint64_t{found->second.in_flight} +
                        found->second.tokens_per_second;
        }
        total += usage;
        usages.emplace_back(slot, usage);
    }
    std::vector<entry_demand> demands;
    std::size_t own_index = 0;
    for (const auto& [slot, usage] : usages) {
        if (slot == this->own_slot)
            own_index = demands.size();
        entry_demand entry;
        entry.slot = slot;
        const bool known =
            has_recent_peers && this->recent_view(slot, now) != nullptr;
        const std::uint32_t units =
            total == 0 ? 0 : divide_rounding_up(usage * limit_units, total);
        entry.cumulative.fill(known ? units : equal_share);
        demands.push_back(entry);
    }
    const auto split_units = split(limit_units, demands, salt);
    return static_cast<double>(split_units[own_index]) / limit_units;
}

bool shares::peers_run_lower_tier(base::upstream_class_id upstream_class,
                                  base::tier tier,
                                  base::instant now) const
{
    for (const base::slot_id slot : this->entries) {
        const load_view* known =
            slot == this->own_slot ? nullptr : this->recent_view(slot, now);
        if (known == nullptr)
            continue;
        const auto demand = known->demands.find(upstream_class);
        if (demand == known->demands.end())
            continue;
        for (std::size_t lower = base::index_of(tier) + 1;
             lower < base::tier_count;
             ++lower)
            if (demand->second.running[lower] > 0)
                return true;
    }
    return false;
}

} // namespace greengagedrum::capacity
