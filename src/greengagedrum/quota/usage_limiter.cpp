#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/quota/usage_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::quota
{

using placement::duration_of;
using placement::seconds_of;

namespace
{

// Parts of the tolerated slack and overshoot that a bucket may be overdrawn by.
// The rest covers words under way and processes that start with a full bucket:
// with a half of the slack, a fleet that was killed in a busy window let
// through 957,000 tokens where 926,000 were tolerated.
constexpr double slack_part = 0.25;
constexpr double overshoot_part = 0.4;

// Uses this close are one entry of the window.
constexpr base::duration counted_together = std::chrono::milliseconds(50);

// A peer tells five times a second at least: after this time without a word
// its uses are assumed, for so long at most. By then it is dead, and what its
// callers ask for comes in elsewhere.
constexpr base::duration word_late = std::chrono::milliseconds(600);
constexpr base::duration assumed_for = std::chrono::seconds(12);

constexpr double rate_weight = 0.2;

// Counts of peers that were there before this process did are history.
constexpr base::duration just_started = std::chrono::seconds(2);

} // namespace

void usage_limiter::set_limits(const routing::configuration& config,
                               base::instant now)
{
    for (const routing::workspace& one : config.workspaces) {
        const auto [found, fresh] = this->buckets.try_emplace(one.id);
        bucket& own = found->second;
        if (fresh) {
            own.limit = one.limit;
            own.filled_at = now;
            own.level = one.limit.burst;
        }
        fill(own, now);
        own.limit = one.limit;
        // What was let through under the limit before is no debt.
        own.level = std::clamp(own.level, 0.0, own.limit.burst);
    }
}

void usage_limiter::fill(bucket& own, base::instant now)
{
    own.level = std::min(own.limit.burst,
                         own.level + own.limit.per_second *
                                         seconds_of(now - own.filled_at));
    own.filled_at = now;
}

void usage_limiter::drop_old(bucket& own, base::instant now) const
{
    while (!own.recent.empty() &&
           now - own.recent.front().at > this->allowed.window) {
        own.recent_sum -= own.recent.front().amount;
        own.recent.pop_front();
    }
    if (own.recent.empty())
        own.recent_sum = 0; // no drift of rounding
}

void usage_limiter::count(bucket& own, double amount, base::instant now)
{
    own.level = std::min(own.limit.burst, own.level - amount);
    own.recent_sum += amount;
    if (!own.recent.empty() && now - own.recent.back().at < counted_together)
        own.recent.back().amount += amount;
    else
        own.recent.push_back({now, amount});
}

// A process that knows nothing of the window before its start has no margin:
// whoever was there before may have used it.
double usage_limiter::margin(const bucket& own, base::instant now) const
{
    if (now - this->started < this->allowed.window)
        return 0;
    return slack_part * this->allowed.slack +
           overshoot_part * this->allowed.overshoot * own.limit.burst;
}

// The sooner of: the bucket has its cost, enough has left the window.
base::duration usage_limiter::until_allowed(const bucket& own,
                                            double cost,
                                            base::instant now) const
{
    const double missing = cost - own.level - this->margin(own, now);
    const base::duration filled =
        duration_of(std::max(0.0, missing) / own.limit.per_second);
    // A process knows nothing of what was let through before its start.
    if (missing > 0 && now - this->started < this->allowed.window)
        return filled;
    const double bound =
        own.limit.per_second * seconds_of(this->allowed.window) +
        own.limit.burst + this->margin(own, now);
    double sum = own.recent_sum + cost;
    if (missing <= 0 || sum <= bound)
        return base::duration{0};
    for (const use& one : own.recent) {
        sum -= one.amount;
        if (sum <= bound)
            return std::min(filled, one.at + this->allowed.window - now);
    }
    return filled;
}

std::optional<base::duration> usage_limiter::take(base::workspace_id workspace,
                                                  double cost,
                                                  base::instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || found->second.limit.per_second <= 0)
        return std::nullopt;
    bucket& own = found->second;
    fill(own, now);
    this->drop_old(own, now);
    const base::duration wait = this->until_allowed(own, cost, now);
    if (wait.count() > 0)
        return wait;
    count(own, cost, now);
    own.own += cost;
    return std::nullopt;
}

void usage_limiter::give_back(base::workspace_id workspace,
                              double cost,
                              base::instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || found->second.limit.per_second <= 0)
        return;
    bucket& own = found->second;
    count(own, -cost, now);
    own.own = std::max(0.0, own.own - cost);
}

void usage_limiter::take_out(base::workspace_id workspace,
                             double amount,
                             base::instant now)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
        return;
    fill(found->second, now);
    this->drop_old(found->second, now);
    count(found->second, amount, now);
}

void usage_limiter::peer_told(base::slot_id peer,
                              base::incarnation life,
                              std::span<const workspace_use> uses,
                              base::instant now)
{
    const auto [found, fresh] = this->peers.try_emplace(peer);
    peer_state& own = found->second;
    const bool new_life = fresh || own.life != life;
    if (new_life) {
        own = peer_state();
        own.life = life;
        own.heard_at = now;
    }
    const bool history = new_life && now - this->started < just_started;
    const double passed = seconds_of(now - own.heard_at);
    for (const workspace_use& one : uses) {
        peer_use& use = own.uses[one.workspace];
        const auto used = static_cast<double>(one.used);
        const double more = used - use.counted;
        use.counted = used;
        if (history)
            continue;
        this->take_out(one.workspace, more, now);
        if (passed > 0)
            use.rate += rate_weight * (std::max(0.0, more) / passed - use.rate);
    }
    own.heard_at = now;
    own.assumed_at = now;
}

void usage_limiter::assume_silent_peers(base::instant now)
{
    for (auto& [peer, own] : this->peers) {
        const base::duration silence = now - own.heard_at;
        if (silence < word_late || silence > assumed_for)
            continue;
        const double passed = seconds_of(now - own.assumed_at);
        own.assumed_at = now;
        for (auto& [workspace, use] : own.uses) {
            use.counted += use.rate * passed;
            this->take_out(workspace, use.rate * passed, now);
        }
    }
}

std::vector<workspace_use> usage_limiter::own_uses() const
{
    std::vector<workspace_use> out;
    for (const auto& [workspace, own] : this->buckets) {
        if (own.own > 0)
            out.push_back({workspace, static_cast<std::uint64_t>(own.own)});
    }
    return out;
}

double usage_limiter::level(base::workspace_id workspace) const
{
    const auto found = this->buckets.find(workspace);
    return found == this->buckets.end() ? 0 : found->second.level;
}

} // namespace greengagedrum::quota
