#include <greengagedrum/capacity/shares.hpp>

#include <algorithm>

namespace greengagedrum::capacity
{

namespace
{

// Ten heartbeats: past that a peer's figures say nothing of now.
constexpr base::duration view_lifetime = std::chrono::seconds(5);

// A lower demand is told once it has lasted this long.
constexpr base::duration peak_hold = std::chrono::seconds(2);

// Every so many digests one holds everything.
constexpr std::uint64_t complete_every = 10;

// Parts into which a workspace's limit is split.
constexpr std::uint32_t limit_parts = 64;

bool same(const upstream_usage& left, const upstream_usage& right)
{
    return left.in_flight == right.in_flight &&
           left.tokens_in_flight == right.tokens_in_flight &&
           left.overdraft == right.overdraft;
}

bool same(const class_demand& left, const class_demand& right)
{
    return std::equal(std::begin(left.waiting),
                      std::end(left.waiting),
                      std::begin(right.waiting)) &&
           std::equal(std::begin(left.running),
                      std::end(left.running),
                      std::begin(right.running));
}

bool idle(const limit_usage& use)
{
    return use.in_flight == 0 && use.tokens_per_second == 0;
}

bool same(const limit_usage& left, const limit_usage& right)
{
    return left.in_flight == right.in_flight &&
           left.tokens_per_second == right.tokens_per_second;
}

// Keeps of `now` what differs from `told`.
template <class Key, class Value, class KeyOf>
std::vector<Value> changed(const std::vector<Value>& now,
                           const std::map<Key, Value>& told,
                           const KeyOf& key_of)
{
    std::vector<Value> out;
    for (const Value& value : now) {
        const auto known = told.find(key_of(value));
        if (known == told.end() || !same(known->second, value))
            out.push_back(value);
    }
    return out;
}

std::uint32_t rounded_up(std::uint64_t value, std::uint64_t by)
{
    return static_cast<std::uint32_t>((value + by - 1) / by);
}

constexpr auto use_key = [](const upstream_usage& use) { return use.upstream; };
constexpr auto demand_key = [](const class_demand& demand) {
    return demand.upstream_class;
};
constexpr auto limit_key = [](const limit_usage& use) {
    return std::pair(use.workspace, use.kind);
};

} // namespace

void shares::set_entries(std::set<base::slot_id> live)
{
    live.insert(this->own);
    this->entries = std::move(live);
}

// ---- What peers tell ------------------------------------------------------

void shares::on_load_digest(base::slot_id peer,
                            base::incarnation life,
                            const load_digest& digest,
                            base::instant now)
{
    if (peer == this->own)
        return;
    view& known = this->peers[peer];
    if (life < known.life)
        return; // a process that is gone
    if (known.life < life) {
        known = view{};
        known.life = life;
    }
    if (known.sequence != 0 && digest.sequence <= known.sequence)
        return; // late or repeated
    known.at = now;
    apply(known, digest);
}

void shares::remove_peer(base::slot_id peer)
{
    this->peers.erase(peer);
}

void shares::apply(view& known, const load_digest& digest)
{
    known.sequence = digest.sequence;
    if (digest.complete) {
        known.uses.clear();
        known.demands.clear();
        known.limits.clear();
    }
    for (const upstream_usage& use : digest.uses)
        known.uses.insert_or_assign(use_key(use), use);
    for (const class_demand& demand : digest.demands)
        known.demands.insert_or_assign(demand_key(demand), demand);
    for (const limit_usage& use : digest.limits) {
        if (idle(use))
            known.limits.erase(limit_key(use));
        else
            known.limits.insert_or_assign(limit_key(use), use);
    }
}

// ---- What this instance tells ---------------------------------------------

class_demand shares::hold_peaks(class_demand demand, base::instant now)
{
    auto& held = this->peaks[demand.upstream_class];
    for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
        const std::uint32_t value = demand.waiting[tier] + demand.running[tier];
        peak& own = held[tier];
        if (value >= own.value || now - own.since >= peak_hold)
            own = peak{value, now};
        demand.waiting[tier] =
            own.value - std::min(own.value, demand.running[tier]);
    }
    return demand;
}

load_digest shares::compose(const load_digest& now_used, base::instant now)
{
    load_digest held = now_used;
    for (class_demand& demand : held.demands)
        demand = this->hold_peaks(demand, now);
    load_digest out;
    out.sequence = this->told.sequence + 1;
    out.complete = out.sequence % complete_every == 1;
    if (out.complete) {
        out.uses = held.uses;
        out.demands = held.demands;
        out.limits = held.limits;
        std::erase_if(out.limits, idle);
    } else {
        out.uses = changed(held.uses, this->told.uses, use_key);
        out.demands = changed(held.demands, this->told.demands, demand_key);
        out.limits = changed(held.limits, this->told.limits, limit_key);
        std::erase_if(out.limits, [this](const limit_usage& use) {
            return idle(use) && !this->told.limits.contains(limit_key(use));
        });
    }
    this->told.at = now;
    apply(this->told, out);
    return out;
}

// ---- The split ------------------------------------------------------------

const shares::view* shares::fresh_view(base::slot_id slot,
                                       base::instant now) const
{
    if (slot == this->own)
        return this->told.sequence == 0 ? nullptr : &this->told;
    const auto found = this->peers.find(slot);
    if (found == this->peers.end() || now - found->second.at > view_lifetime)
        return nullptr;
    return &found->second;
}

bool shares::anything_heard(base::instant now) const
{
    return std::any_of(
        this->entries.begin(), this->entries.end(), [&](base::slot_id slot) {
            return slot != this->own && this->fresh_view(slot, now) != nullptr;
        });
}

std::uint32_t shares::upstream_share(base::upstream_id upstream,
                                     base::upstream_class_id upstream_class,
                                     std::uint32_t limit,
                                     std::uint32_t class_total,
                                     base::instant now) const
{
    const bool connected = this->anything_heard(now);
    const std::uint32_t equal = rounded_up(limit, this->entries.size());
    std::vector<wanted> wants;
    std::size_t own_place = 0;
    for (const base::slot_id slot : this->entries) {
        if (slot == this->own)
            own_place = wants.size();
        wanted entry;
        entry.slot = slot;
        const view* known = connected ? this->fresh_view(slot, now) : nullptr;
        if (known == nullptr) {
            entry.up_to.fill(equal);
        } else if (const auto demand = known->demands.find(upstream_class);
                   demand != known->demands.end()) {
            std::uint64_t sum = 0;
            for (std::size_t tier = 0; tier < base::tier_count; ++tier) {
                sum += demand->second.waiting[tier];
                sum += demand->second.running[tier];
                entry.up_to[tier] = rounded_up(
                    sum * limit, std::max<std::uint32_t>(1, class_total));
            }
        }
        wants.push_back(entry);
    }
    return split(limit, wants, upstream.value)[own_place];
}

double shares::limit_share(base::workspace_id workspace,
                           base::kind_id kind,
                           base::instant now) const
{
    const limit_id limit{workspace, kind};
    return this->limit_part(limit, workspace.value ^ kind.value, now);
}

double shares::idle_limit_share(base::instant now) const
{
    return this->limit_part({}, 0, now);
}

std::set<shares::limit_id> shares::used_limits(base::instant now) const
{
    std::set<limit_id> out;
    for (const base::slot_id slot : this->entries) {
        const view* known = this->fresh_view(slot, now);
        if (known == nullptr)
            continue;
        for (const auto& [limit, use] : known->limits)
            out.insert(limit);
    }
    return out;
}

double shares::limit_part(const limit_id& limit,
                          std::uint64_t salt,
                          base::instant now) const
{
    const bool connected = this->anything_heard(now);
    const std::uint32_t equal = rounded_up(limit_parts, this->entries.size());
    std::uint64_t all = 0;
    std::vector<std::pair<base::slot_id, std::uint64_t>> used;
    for (const base::slot_id slot : this->entries) {
        const view* known = connected ? this->fresh_view(slot, now) : nullptr;
        std::uint64_t own_use = 0;
        if (known != nullptr) {
            const auto use = known->limits.find(limit);
            if (use != known->limits.end())
                own_use = std::uint64_t{use->second.in_flight} +
                          use->second.tokens_per_second;
        }
        all += own_use;
        used.emplace_back(slot, own_use);
    }
    std::vector<wanted> wants;
    std::size_t own_place = 0;
    for (const auto& [slot, own_use] : used) {
        if (slot == this->own)
            own_place = wants.size();
        wanted entry;
        entry.slot = slot;
        const bool known = connected && this->fresh_view(slot, now) != nullptr;
        const std::uint32_t part =
            all == 0 ? 0 : rounded_up(own_use * limit_parts, all);
        entry.up_to.fill(known ? part : equal);
        wants.push_back(entry);
    }
    const auto parts = split(limit_parts, wants, salt);
    return static_cast<double>(parts[own_place]) / limit_parts;
}

bool shares::peers_run_lower_tier(base::upstream_class_id upstream_class,
                                  base::tier tier,
                                  base::instant now) const
{
    for (const base::slot_id slot : this->entries) {
        const view* known =
            slot == this->own ? nullptr : this->fresh_view(slot, now);
        if (known == nullptr)
            continue;
        const auto demand = known->demands.find(upstream_class);
        if (demand == known->demands.end())
            continue;
        for (std::size_t low = base::index_of(tier) + 1; low < base::tier_count;
             ++low)
            if (demand->second.running[low] > 0)
                return true;
    }
    return false;
}

} // namespace greengagedrum::capacity
