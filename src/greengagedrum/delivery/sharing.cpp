// This instance's shares of what the entries of a data centre share: the slots
// of upstreams and the limits of workspaces.
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace greengagedrum::delivery
{

namespace
{
// Shares follow the peers' digests, which arrive about twice a second.
constexpr base::duration share_period = std::chrono::milliseconds(250);
} // namespace

void scheduler::on(const peer_load& what)
{
    if (what.digest.complete)
        this->planner.peer_lost(what.sender);
    this->planner.peer_use(what.sender, what.digest.uses, this->now);
    this->shares.on_load_digest(
        what.sender, what.incarnation, what.digest, this->now);
    this->update_shares();
}

void scheduler::on(const peer_lost& what)
{
    this->planner.peer_lost(what.slot);
    this->desk.lost(what.slot);
    this->shares.remove_peer(what.slot);
    this->update_shares();
}

// The entries are those that the instance list calls live. Before the first
// list is known, every entry slot of the fleet document is assumed to be live.
void scheduler::set_entries()
{
    std::set<base::slot_id> live;
    for (const membership::listed_instance& instance :
         this->instance_listing.instances) {
        if (instance.type == membership::instance_type::entry &&
            instance.state == membership::listed_state::live &&
            base::data_centre_id(instance.data_centre) ==
                this->options.data_centre)
            live.insert(base::slot_id(instance.name));
    }
    if (this->instance_listing.instances.empty() && this->snapshot) {
        for (const auto& centre : this->snapshot->fleet.data_centres)
            if (centre.id == this->options.data_centre)
                for (const config::entry_slot& slot : centre.slots)
                    live.insert(slot.id);
    }
    this->shares.set_entries(std::move(live));
    this->update_shares();
}

void scheduler::update_shares()
{
    this->next_share_refresh = this->now + share_period;
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
    this->set_own_limits();
}

// Every entry may run at least one request at a time. Otherwise a limit smaller
// than the number of entries would permanently block some of them.
void scheduler::set_own_limits()
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
        send_load_digest{this->shares.compose(this->own_load(), this->now)});
}

// Empty until there is a configuration that names the upstreams.
capacity::load_digest scheduler::own_load()
{
    capacity::load_digest digest;
    if (!this->snapshot)
        return digest;
    std::set<base::upstream_class_id> classes;
    for (const auto& entry : this->snapshot->fleet.upstreams) {
        if (entry.data_centre != this->options.data_centre)
            continue;
        classes.insert(entry.upstream_class);
        capacity::upstream_usage use;
        use.upstream = entry.id;
        use.in_flight = this->running_requests.in_flight(entry.id);
        use.tokens_in_flight =
            this->running_requests.tokens_in_flight(entry.id);
        use.overdraft = use.in_flight > this->planner.allowance(entry.id);
        digest.uses.push_back(use);
    }
    for (const base::upstream_class_id id : classes) {
        capacity::class_demand demand;
        demand.upstream_class = id;
        const auto waiting = this->admission.waiting_by_tier(id);
        for (const base::tier tier : base::all_tiers) {
            const std::size_t index = base::index_of(tier);
            demand.waiting[index] = waiting[index];
            demand.running[index] = this->running_requests.count(id, tier);
        }
        digest.demands.push_back(demand);
    }
    this->add_limit_usage(digest);
    return digest;
}

// tokens_per_second is the rate admitted since the last digest.
void scheduler::add_limit_usage(capacity::load_digest& digest)
{
    const double elapsed_s =
        std::chrono::duration<double>(this->now - this->last_digest_at).count();
    this->last_digest_at = this->now;
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
                spent - std::exchange(this->reported_tokens[key], spent);
            if (kind.tokens_per_second > 0 && elapsed_s > 0)
                use.tokens_per_second = static_cast<std::uint32_t>(
                    static_cast<double>(fresh) / elapsed_s);
            digest.limits.push_back(use);
        }
    }
}

} // namespace greengagedrum::delivery
