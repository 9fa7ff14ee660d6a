#include <greengagedrum/quota/usage_limiter.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace greengagedrum::quota
{

namespace
{

// The parts of the window that are reported to others. Four suffice for a
// process that starts, which counts each part as of its end and so up to a
// quarter of the window too long. A handover needs finer parts: as entries are
// restarted in turn, each handover would add a quarter of the window again.
constexpr std::size_t reported_parts = 4;
constexpr std::size_t handover_parts = 32;

// Workspaces that fit into one datagram, at 150 bytes each.
constexpr std::size_t max_handover_workspaces = 300;

std::uint32_t to_counter(double value)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, most));
}

} // namespace

void usage_limiter::restart(base::instant now)
{
    this->started = now;
    this->took_over = false;
    this->peers.clear();
    this->silent_peer_shares = silent_peers(now);
    for (auto& [workspace, limit] : this->limits) {
        workspace_limit fresh(limit.published, this->tolerated, now);
        // Kept, since peers count the growth of this number.
        fresh.own_sent = limit.own_sent;
        limit = fresh;
    }
}

// Failure guarded against: the dispatcher of a data centre stops, and its
// successor knows nothing of the window. The successor's buckets are nearly
// empty, and requests within the limits are refused.
void usage_limiter::take_over(base::slot_id former,
                              base::incarnation incarnation,
                              std::span<const workspace_usage> usage,
                              base::instant now)
{
    this->restart(now);
    this->on_peer_report(former, incarnation, usage, true, now);
    // The former dispatcher's waiting requests are submitted to this one and
    // counted again.
    this->forget_peer(former);
    this->took_over = std::any_of(
        usage.begin(), usage.end(), [](const workspace_usage& reported) {
            return !reported.all_sent_in_window.empty();
        });
    if (!this->took_over)
        return;
    const limit_rules current_rules = this->rules(now);
    for (auto& [workspace, limit] : this->limits)
        limit.replay_window(current_rules, now);
}

void usage_limiter::set_limits(const routing::configuration& config,
                               base::instant now)
{
    const limit_rules current_rules = this->rules(now);
    for (const routing::workspace& workspace : config.workspaces) {
        const auto [found, inserted] = this->limits.try_emplace(
            workspace.id, workspace.limit, this->tolerated, now);
        if (!inserted)
            found->second.set_published(workspace.limit, current_rules, now);
    }
}

bool usage_limiter::started_within_window(base::instant now) const
{
    return now - this->started < this->tolerated.window;
}

// A process does not know what was sent before it started.
bool usage_limiter::window_known(base::instant now) const
{
    return this->took_over || !this->started_within_window(now);
}

limit_rules usage_limiter::rules(base::instant now) const
{
    return {this->tolerated, this->window_known(now)};
}

workspace_limit* usage_limiter::find_limit(base::workspace_id workspace)
{
    const auto found = this->limits.find(workspace);
    if (found == this->limits.end() || found->second.published.per_second <= 0)
        return nullptr;
    return &found->second;
}

std::optional<base::duration>
usage_limiter::try_acquire(base::workspace_id workspace,
                           double cost,
                           std::uint32_t priority,
                           base::instant now)
{
    workspace_limit* limit = this->find_limit(workspace);
    if (limit == nullptr)
        return std::nullopt;
    limit->demand.on_requested(priority, cost, now);
    const limit_rules current_rules = this->rules(now);
    limit->refill(current_rules, now);
    limit->drop_expired(this->tolerated.window, now);
    const base::duration wait =
        limit->time_until_admitted(cost, priority, current_rules, now);
    if (wait.count() > 0)
        return limit->schedule_retry(cost, wait, this->tolerated.window, now);
    limit->demand.on_admitted(priority, cost, now);
    limit->bucket_level -= cost;
    limit->own_waiting += cost;
    return std::nullopt;
}

void usage_limiter::on_sent(base::workspace_id workspace,
                            double cost,
                            base::instant now)
{
    workspace_limit* limit = this->find_limit(workspace);
    if (limit == nullptr)
        return;
    limit->drop_expired(this->tolerated.window, now);
    limit->own_waiting = std::max(0.0, limit->own_waiting - cost);
    limit->own_sent += cost;
    limit->own_window.add(cost, now);
    limit->all_window.add(cost, now);
    this->silent_peer_shares.on_own_usage(workspace, cost, now);
}

void usage_limiter::refund_unsent(base::workspace_id workspace,
                                  double cost,
                                  base::instant now)
{
    workspace_limit* limit = this->find_limit(workspace);
    if (limit == nullptr)
        return;
    limit->own_waiting = std::max(0.0, limit->own_waiting - cost);
    limit->refund(cost, this->rules(now), now);
}

void usage_limiter::refund_not_run(base::workspace_id workspace,
                                   double cost,
                                   base::instant now)
{
    if (workspace_limit* limit = this->find_limit(workspace))
        limit->refund(cost, this->rules(now), now);
}

std::vector<std::uint32_t> usage_limiter::all_sent_in_window(
    const workspace_limit& limit, std::size_t parts, base::instant now) const
{
    // Usage that peers reported right after the start must have left the window
    // as well: reported on, it would be counted twice by the next process that
    // starts.
    if (!this->took_over &&
        now - this->started < this->tolerated.window * 5 / 4)
        return {};
    const std::vector<double> sums =
        limit.all_window.by_part(parts, this->tolerated.window, now);
    std::vector<std::uint32_t> out(sums.size());
    std::transform(sums.begin(), sums.end(), out.begin(), to_counter);
    return out;
}

workspace_usage usage_limiter::usage_of(base::workspace_id workspace,
                                        const workspace_limit& limit,
                                        std::size_t parts,
                                        base::instant now) const
{
    return {workspace,
            static_cast<std::uint64_t>(limit.own_sent),
            to_counter(limit.own_waiting),
            to_counter(limit.own_window.sum()),
            this->all_sent_in_window(limit, parts, now)};
}

std::vector<workspace_usage> usage_limiter::own_usage(base::instant now)
{
    std::vector<workspace_usage> out;
    for (auto& [workspace, limit] : this->limits) {
        limit.drop_expired(this->tolerated.window, now);
        if (limit.own_sent > 0 || limit.own_waiting > 0)
            out.push_back(
                this->usage_of(workspace, limit, reported_parts, now));
    }
    return out;
}

// Failure guarded against: with thousands of workspaces the message exceeds a
// datagram and is lost, and with it the heartbeat that it carries. The
// workspaces closest to their limits are reported; the others have enough room.
std::vector<workspace_usage> usage_limiter::window_usage(base::instant now)
{
    const limit_rules current_rules = this->rules(now);
    std::vector<std::pair<double, base::workspace_id>> by_used_share;
    for (auto& [workspace, limit] : this->limits) {
        limit.drop_expired(this->tolerated.window, now);
        const double in_window = limit.all_window.sum() + limit.own_waiting;
        if (in_window > 0)
            by_used_share.emplace_back(
                in_window / limit.window_bound(current_rules), workspace);
    }
    if (by_used_share.size() > max_handover_workspaces) {
        std::nth_element(by_used_share.begin(),
                         by_used_share.begin() + static_cast<std::ptrdiff_t>(
                                                     max_handover_workspaces),
                         by_used_share.end(),
                         std::greater<>());
        by_used_share.resize(max_handover_workspaces);
    }
    std::vector<workspace_usage> out;
    out.reserve(by_used_share.size());
    for (const auto& [share, workspace] : by_used_share)
        out.push_back(this->usage_of(
            workspace, this->limits.at(workspace), handover_parts, now));
    return out;
}

void usage_limiter::set_never_heard_peer_count(std::size_t count)
{
    this->silent_peer_shares.set_never_heard_count(count);
}

void usage_limiter::set_unreported_member_share(double share, base::instant now)
{
    this->silent_peer_shares.set_unreported_share(share, now);
}

void usage_limiter::update_silent_peers(base::instant now)
{
    this->remove_forgotten(now);
    std::vector<silent_peers::workspace_rate> rates;
    for (const auto& [workspace, limit] : this->limits)
        rates.push_back({workspace, limit.published.per_second});
    for (const base::slot_id peer :
         this->silent_peer_shares.detect_silent(rates, now))
        this->drop_waiting(this->peers[peer]);
    const limit_rules current_rules = this->rules(now);
    for (auto& [workspace, limit] : this->limits) {
        limit.refill(current_rules, now);
        limit.silent_usage =
            this->silent_peer_shares.assumed_usage_of(workspace, now);
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
    const workspace_limit& limit = found->second;
    out.bucket_level = limit.bucket_level;
    out.own_sent = limit.own_window.sum();
    out.all_sent = limit.all_window.sum();
    out.all_waiting = limit.own_waiting + limit.peers_waiting;
    out.window_bound = limit.window_bound(this->rules(now));
    out.silent_share = limit.silent_usage.share;
    return out;
}

} // namespace greengagedrum::quota
