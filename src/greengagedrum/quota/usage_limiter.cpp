#include <greengagedrum/quota/usage_limiter.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace greengagedrum::quota
{

namespace
{

// In which others are told of the window: quarters suffice for one that starts
// anew, which counts each as of its end. A process that takes over again and
// again, as entries are restarted in turn, would add a quarter each time.
constexpr std::size_t parts_told = 4;
constexpr std::size_t parts_handed_over = 32;

// Workspaces that one datagram holds, at 150 bytes each.
constexpr std::size_t most_handed_over = 300;

std::uint32_t whole_part(double value)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, most));
}

} // namespace

// ---- The limit ------------------------------------------------------------

void usage_limiter::restart(base::instant now)
{
    this->started = now;
    this->took_over = false;
    this->peers.clear();
    this->absent = absent_peers(now);
    for (auto& [workspace, own] : this->limits) {
        workspace_limit fresh(own.limit, this->allowed, now);
        // Peers go by how much it has grown since they heard of it last.
        fresh.own_sent = own.own_sent;
        own = fresh;
    }
}

// Failure guarded against: the dispatcher of a data centre stops, and the one
// that takes over knows nothing of the window. Its buckets begin nearly empty,
// and work within the limits is refused.
void usage_limiter::take_over(base::slot_id former,
                              base::incarnation life,
                              std::span<const workspace_usage> uses,
                              base::instant now)
{
    this->restart(now);
    this->on_peer_report(former, life, uses, true, now);
    // Requests that wait there are asked for here.
    this->forget_peer(former);
    this->took_over =
        std::any_of(uses.begin(), uses.end(), [](const workspace_usage& one) {
            return !one.all_sent_in_window.empty();
        });
    if (!this->took_over)
        return;
    const limit_rules valid = this->rules(now);
    for (auto& [workspace, limited] : this->limits)
        limited.follow_window(valid, now);
}

void usage_limiter::set_limits(const routing::configuration& config,
                               base::instant now)
{
    const limit_rules now_valid = this->rules(now);
    for (const routing::workspace& one : config.workspaces) {
        const auto [found, fresh] =
            this->limits.try_emplace(one.id, one.limit, this->allowed, now);
        if (!fresh)
            found->second.change(one.limit, now_valid, now);
    }
}

bool usage_limiter::started_lately(base::instant now) const
{
    return now - this->started < this->allowed.window;
}

// A process knows nothing of its own of what was let through before its start.
bool usage_limiter::window_known(base::instant now) const
{
    return this->took_over || !this->started_lately(now);
}

limit_rules usage_limiter::rules(base::instant now) const
{
    return {this->allowed, this->window_known(now)};
}

workspace_limit* usage_limiter::find_limited(base::workspace_id workspace)
{
    const auto found = this->limits.find(workspace);
    if (found == this->limits.end() || found->second.limit.per_second <= 0)
        return nullptr;
    return &found->second;
}

// ---- Own requests ---------------------------------------------------------

std::optional<base::duration>
usage_limiter::try_acquire(base::workspace_id workspace,
                           double cost,
                           std::uint32_t priority,
                           base::instant now)
{
    workspace_limit* own = this->find_limited(workspace);
    if (own == nullptr)
        return std::nullopt;
    own->demand.asked(priority, cost, now);
    const limit_rules valid = this->rules(now);
    own->fill(valid, now);
    own->drop_old(this->allowed.window, now);
    const base::duration wait = own->until_allowed(cost, priority, valid, now);
    if (wait.count() > 0)
        return own->promise_return(cost, wait, this->allowed.window, now);
    own->demand.let_through(priority, cost, now);
    own->level -= cost;
    own->own_waiting += cost;
    return std::nullopt;
}

void usage_limiter::on_sent(base::workspace_id workspace,
                            double cost,
                            base::instant now)
{
    workspace_limit* own = this->find_limited(workspace);
    if (own == nullptr)
        return;
    own->drop_old(this->allowed.window, now);
    own->own_waiting = std::max(0.0, own->own_waiting - cost);
    own->own_sent += cost;
    own->own_recent.add(cost, now);
    own->recent.add(cost, now);
    this->absent.own_used(workspace, cost, now);
}

void usage_limiter::refund_unsent(base::workspace_id workspace,
                                  double cost,
                                  base::instant now)
{
    workspace_limit* own = this->find_limited(workspace);
    if (own == nullptr)
        return;
    own->own_waiting = std::max(0.0, own->own_waiting - cost);
    own->restore(cost, this->rules(now), now);
}

void usage_limiter::refund_not_run(base::workspace_id workspace,
                                   double cost,
                                   base::instant now)
{
    if (workspace_limit* own = this->find_limited(workspace))
        own->restore(cost, this->rules(now), now);
}

std::vector<std::uint32_t> usage_limiter::all_sent_in_window(
    const workspace_limit& own, std::size_t parts, base::instant now) const
{
    // What was learnt of peers in the first moments has left by then as well:
    // passed on, it would count twice with the next process that starts.
    if (!this->took_over && now - this->started < this->allowed.window * 5 / 4)
        return {};
    const std::vector<double> sums =
        own.recent.by_part(parts, this->allowed.window, now);
    std::vector<std::uint32_t> out(sums.size());
    std::transform(sums.begin(), sums.end(), out.begin(), whole_part);
    return out;
}

workspace_usage usage_limiter::use_of(base::workspace_id workspace,
                                      const workspace_limit& own,
                                      std::size_t parts,
                                      base::instant now) const
{
    return {workspace,
            static_cast<std::uint64_t>(own.own_sent),
            whole_part(own.own_waiting),
            whole_part(own.own_recent.sum()),
            this->all_sent_in_window(own, parts, now)};
}

std::vector<workspace_usage> usage_limiter::own_usage(base::instant now)
{
    std::vector<workspace_usage> out;
    for (auto& [workspace, own] : this->limits) {
        own.drop_old(this->allowed.window, now);
        if (own.own_sent > 0 || own.own_waiting > 0)
            out.push_back(this->use_of(workspace, own, parts_told, now));
    }
    return out;
}

// Failure guarded against: with thousands of workspaces the message is larger
// than a datagram, and with it the sign of life that it bears is lost. Those
// nearest to their limits are told; of the others there is room enough.
std::vector<workspace_usage> usage_limiter::window_usage(base::instant now)
{
    const limit_rules valid = this->rules(now);
    std::vector<std::pair<double, base::workspace_id>> used;
    for (auto& [workspace, own] : this->limits) {
        own.drop_old(this->allowed.window, now);
        const double held = own.recent.sum() + own.own_waiting;
        if (held > 0)
            used.emplace_back(held / own.window_bound(valid), workspace);
    }
    if (used.size() > most_handed_over) {
        std::nth_element(used.begin(),
                         used.begin() +
                             static_cast<std::ptrdiff_t>(most_handed_over),
                         used.end(),
                         std::greater<>());
        used.resize(most_handed_over);
    }
    std::vector<workspace_usage> out;
    out.reserve(used.size());
    for (const auto& [share, workspace] : used)
        out.push_back(this->use_of(
            workspace, this->limits.at(workspace), parts_handed_over, now));
    return out;
}

// ---- Entries that are not heard
// -----------------------------------------------

void usage_limiter::set_never_heard_peer_count(std::size_t count)
{
    this->absent.set_unheard(count);
}

void usage_limiter::set_unreported_member_share(double part, base::instant now)
{
    this->absent.set_unreported(part, now);
}

void usage_limiter::update_silent_peers(base::instant now)
{
    this->drop_forgotten(now);
    std::vector<absent_peers::limited> rates;
    for (const auto& [workspace, own] : this->limits)
        rates.push_back({workspace, own.limit.per_second});
    for (const base::slot_id peer : this->absent.notice(rates, now))
        this->forget_waiting(this->peers[peer]);
    const limit_rules valid = this->rules(now);
    for (auto& [workspace, own] : this->limits) {
        own.fill(valid, now);
        own.absent = this->absent.of(workspace, now);
    }
}

double usage_limiter::reserved_for_higher_priority(base::workspace_id workspace,
                                                   double cost,
                                                   std::uint32_t priority,
                                                   base::instant now) const
{
    const auto found = this->limits.find(workspace);
    if (found == this->limits.end())
        return 0;
    return found->second.reserved_for_higher_priority(
        cost, priority, this->rules(now), now);
}

limit_status usage_limiter::status_of(base::workspace_id workspace,
                                      base::instant now) const
{
    limit_status out;
    out.window_known = this->window_known(now);
    const auto found = this->limits.find(workspace);
    if (found == this->limits.end())
        return out;
    const workspace_limit& own = found->second;
    out.bucket_level = own.level;
    out.own_sent = own.own_recent.sum();
    out.all_sent = own.recent.sum();
    out.all_waiting = own.own_waiting + own.peers_waiting;
    out.window_bound = own.window_bound(this->rules(now));
    out.absent_share = own.absent.share;
    return out;
}

} // namespace greengagedrum::quota
