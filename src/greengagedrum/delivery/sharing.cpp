// What the entries of a data centre share: places at upstreams and limits of
// workspaces.
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace greengagedrum::delivery
{

namespace
{
// Shares follow the peers' digests, and these come about twice a second.
constexpr base::duration share_period = std::chrono::milliseconds(250);
} // namespace

void scheduler::on(const peer_load& what)
{
    if (what.digest.complete)
        this->planner.peer_lost(what.sender);
    this->planner.peer_use(what.sender, what.digest.uses, this->now);
    this->shares.on_load_digest(what.sender, what.life, what.digest, this->now);
    this->refresh_shares();
}

void scheduler::on(const peer_lost& what)
{
    this->planner.peer_lost(what.slot);
    this->desk.lost(what.slot);
    this->shares.remove_peer(what.slot);
    this->refresh_shares();
}

// The list says who exists. Before it is known, whoever the fleet document
// names may exist.
void scheduler::set_entries()
{
    std::set<base::slot_id> live;
    for (const membership::listed_instance& line : this->listed.instances) {
        if (line.type == membership::instance_type::entry &&
            line.state == membership::listed_state::live &&
            base::data_centre_id(line.data_centre) == this->options.data_centre)
            live.insert(base::slot_id(line.name));
    }
    if (this->listed.instances.empty() && this->snapshot) {
        for (const auto& centre : this->snapshot->fleet.data_centres)
            if (centre.id == this->options.data_centre)
                for (const config::entry_slot& slot : centre.slots)
                    live.insert(slot.id);
    }
    this->shares.set_entries(std::move(live));
    this->refresh_shares();
}

void scheduler::refresh_shares()
{
    this->shares_due = this->now + share_period;
    if (!this->snapshot)
        return;
    std::map<base::upstream_class_id, std::uint32_t> totals;
    const auto& upstreams = this->snapshot->fleet.upstreams;
    for (const config::upstream_entry& entry : upstreams)
        if (entry.data_centre == this->options.data_centre)
            totals[entry.upstream_class] += entry.max_in_flight;
    for (const config::upstream_entry& entry : upstreams) {
        if (entry.data_centre != this->options.data_centre)
            continue;
        const std::uint32_t share =
            this->shares.upstream_share(entry.id,
                                        entry.upstream_class,
                                        entry.max_in_flight,
                                        totals[entry.upstream_class],
                                        this->now);
        this->planner.set_allowance(entry.id, share);
    }
    this->set_limit_shares();
}

// At least one request at once: a limit smaller than the number of entries
// would else shut some of them out for good.
void scheduler::set_limit_shares()
{
    std::map<admission::limit_key, admission::limit> bounds;
    const double idle = this->shares.idle_limit_share(this->now);
    const auto used = this->shares.used_limits(this->now);
    for (const auto& [name, workspace] : this->snapshot->workspaces) {
        for (const config::kind_rules& kind : workspace.kinds) {
            if (kind.max_in_flight == 0 && kind.tokens_per_second == 0)
                continue;
            const double part =
                used.contains({workspace.id, kind.id})
                    ? this->shares.limit_share(workspace.id, kind.id, this->now)
                    : idle;
            admission::limit bound;
            if (kind.max_in_flight > 0)
                bound.max_in_flight = static_cast<std::uint32_t>(
                    std::max(1.0, std::floor(part * kind.max_in_flight)));
            bound.tokens_per_second = part * kind.tokens_per_second;
            bounds[{workspace.id, kind.id}] = bound;
        }
    }
    this->admission.set_limits(bounds);
}

void scheduler::on(const load_due& what)
{
    static_cast<void>(what);
    this->out->push_back(
        tell_load{this->shares.compose(this->own_use(), this->now)});
}

// Empty until a configuration says which upstreams there are.
capacity::load_digest scheduler::own_use()
{
    capacity::load_digest used;
    if (!this->snapshot)
        return used;
    std::set<base::upstream_class_id> classes;
    for (const auto& entry : this->snapshot->fleet.upstreams) {
        if (entry.data_centre != this->options.data_centre)
            continue;
        classes.insert(entry.upstream_class);
        capacity::upstream_usage use;
        use.upstream = entry.id;
        use.in_flight = this->run_set.in_flight(entry.id);
        use.tokens_in_flight = this->run_set.tokens_in_flight(entry.id);
        use.overdraft = use.in_flight > this->planner.allowance(entry.id);
        used.uses.push_back(use);
    }
    for (const base::upstream_class_id id : classes) {
        capacity::class_demand demand;
        demand.upstream_class = id;
        const auto waiting = this->admission.waiting_by_tier(id);
        for (const base::tier tier : base::all_tiers) {
            const std::size_t index = base::index_of(tier);
            demand.waiting[index] = waiting[index];
            demand.running[index] = this->run_set.count(id, tier);
        }
        used.demands.push_back(demand);
    }
    this->note_limit_uses(used);
    return used;
}

// Tokens a second are those let through since the last digest.
void scheduler::note_limit_uses(capacity::load_digest& used)
{
    const double passed =
        std::chrono::duration<double>(this->now - this->load_told).count();
    this->load_told = this->now;
    for (const auto& [name, workspace] : this->snapshot->workspaces) {
        for (const config::kind_rules& kind : workspace.kinds) {
            if (kind.max_in_flight == 0 && kind.tokens_per_second == 0)
                continue;
            const admission::limit_key key{workspace.id, kind.id};
            capacity::limit_usage use;
            use.workspace = workspace.id;
            use.kind = kind.id;
            use.in_flight = this->admission.request_limiter().in_flight(key) +
                            this->admission.held_count(key);
            const std::uint64_t spent =
                this->admission.request_limiter().admitted_tokens(key);
            const std::uint64_t fresh =
                spent - std::exchange(this->tokens_told[key], spent);
            if (kind.tokens_per_second > 0 && passed > 0)
                use.tokens_per_second = static_cast<std::uint32_t>(
                    static_cast<double>(fresh) / passed);
            used.limits.push_back(use);
        }
    }
}

} // namespace greengagedrum::delivery
