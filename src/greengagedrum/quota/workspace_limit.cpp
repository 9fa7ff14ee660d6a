#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/quota/workspace_limit.hpp>

#include <algorithm>
#include <vector>

namespace greengagedrum::quota
{

using placement::duration_of;
using placement::seconds_of;

namespace
{

// By these parts of the tolerated slack and overshoot a bucket may be
// overdrawn. The rest covers messages in transit and processes that start.
constexpr double bucket_slack_part = 0.25;
constexpr double bucket_overshoot_part = 0.4;

// Steps in which a bucket replays the window that another process handed over.
constexpr std::size_t replay_steps = 32;

// Beyond the limit, the bucket reserves what higher priorities need within this
// time, but at most this part of the burst.
constexpr base::duration reserved_time = std::chrono::milliseconds(500);
constexpr double max_reserved_part = 0.5;

// A cost below this part of the average cost of a higher-priority request is
// negligible.
constexpr double negligible_cost_ratio = 0.05;

// Least share of the rate, for callers of an entry that refused them although
// it sent nothing itself.
constexpr double min_own_share = 0.02;

} // namespace

workspace_limit::workspace_limit(const routing::usage_limit& published,
                                 const tolerance& tolerated,
                                 base::instant now)
    : published(published),
      bucket_level(std::min(1.0, tolerated.overshoot) * published.burst),
      refilled_at(now)
{
}

double workspace_limit::refill_rate(const limit_rules& rules) const
{
    if (!rules.window_known)
        return this->published.per_second;
    return this->window_bound(rules) / seconds_of(rules.tolerated.window);
}

// The share that silent peers are assumed to use is not given out here.
void workspace_limit::refill(const limit_rules& rules, base::instant now)
{
    const double available_share = 1 - this->silent_usage.share;
    const double refilled =
        this->bucket_level + available_share * this->refill_rate(rules) *
                                 seconds_of(now - this->refilled_at);
    this->bucket_level =
        std::min(available_share * this->published.burst, refilled);
    this->refilled_at = now;
}

void workspace_limit::refund(double amount,
                             const limit_rules& rules,
                             base::instant now)
{
    this->refill(rules, now);
    this->bucket_level =
        std::min(this->published.burst, this->bucket_level + amount);
}

void workspace_limit::replay_window(const limit_rules& rules, base::instant now)
{
    const std::vector<double> used =
        this->all_window.by_part(replay_steps, rules.tolerated.window, now);
    const double refill_per_step = this->window_bound(rules) / replay_steps;
    this->bucket_level = this->published.burst;
    std::for_each(used.rbegin(), used.rend(), [&](double used_in_part) {
        this->bucket_level = std::min(this->published.burst,
                                      this->bucket_level + refill_per_step) -
                             used_in_part;
    });
    this->refilled_at = now;
}

void workspace_limit::drop_expired(base::duration window, base::instant now)
{
    this->all_window.drop_expired(window, now);
    this->own_window.drop_expired(window, now);
}

void workspace_limit::set_published(const routing::usage_limit& published,
                                    const limit_rules& rules,
                                    base::instant now)
{
    this->refill(rules, now);
    const bool lowered = published.per_second < this->published.per_second ||
                         published.burst < this->published.burst;
    if (lowered) {
        const double bound = this->window_bound(rules);
        this->former_bound = now < this->former_bound_until
                                 ? std::max(this->former_bound, bound)
                                 : bound;
        this->former_bound_until = now + rules.tolerated.window;
        // What was admitted under the former limit is not overdrawn under the
        // new one.
        this->bucket_level = std::max(this->bucket_level, 0.0);
    }
    this->published = published;
    this->bucket_level = std::min(this->bucket_level, this->published.burst);
}

// A process that does not know the window from before its start has no margin:
// the entries before it may have used it up.
double workspace_limit::margin(const limit_rules& rules) const
{
    if (!rules.window_known)
        return 0;
    return bucket_slack_part * rules.tolerated.slack +
           bucket_overshoot_part * rules.tolerated.overshoot *
               this->published.burst;
}

double workspace_limit::window_bound(const limit_rules& rules) const
{
    return this->published.per_second * seconds_of(rules.tolerated.window) +
           this->published.burst + this->margin(rules);
}

// What a window of that bound still holds for this entry and the peers that it
// hears. Of what was left when the others fell silent, only the share of this
// side counts, since the others may use theirs at any moment.
double workspace_limit::window_room(double bound) const
{
    const double available_share = 1 - this->silent_usage.share;
    const double used_before_silence =
        available_share < 1
            ? this->all_window.sum_before(this->silent_usage.since)
            : 0;
    const double used_since = this->all_window.sum() - used_before_silence +
                              this->own_waiting + this->peers_waiting;
    return available_share * (bound - used_before_silence) - used_since;
}

double workspace_limit::own_share() const
{
    const double total = this->all_window.sum();
    return total > 0
               ? std::clamp(this->own_window.sum() / total, min_own_share, 1.0)
               : 1.0;
}

// Failure guarded against: a workspace demands several times its limit, and its
// low-priority requests use up what its high-priority requests are then refused
// for. Requests of negligible cost leave enough room in any case.
double workspace_limit::reserved_for_higher_priority(double cost,
                                                     std::uint32_t priority,
                                                     const limit_rules& rules,
                                                     base::instant now) const
{
    const double share = this->own_share();
    const double higher_priority_cost =
        this->demand.higher_priority_cost(priority, now);
    if (this->demand.total_rate(now) <= share * this->refill_rate(rules) ||
        cost <= negligible_cost_ratio * higher_priority_cost)
        return 0;
    const double expected_demand =
        this->demand.higher_priority_rate(priority, now) / share *
        seconds_of(reserved_time);
    const double reserved =
        std::min(max_reserved_part * this->published.burst, expected_demand);
    return this->demand.is_starved(priority, now)
               ? std::min(reserved, higher_priority_cost)
               : reserved;
}

base::duration workspace_limit::time_until_admitted(double cost,
                                                    std::uint32_t priority,
                                                    const limit_rules& rules,
                                                    base::instant now) const
{
    const double available_share = 1 - this->silent_usage.share;
    const double needed =
        cost + available_share * this->reserved_for_higher_priority(
                                     cost, priority, rules, now);
    const double bucket_shortfall =
        needed - this->bucket_level - available_share * this->margin(rules);
    const double bound = this->window_bound(rules);
    const double window_shortfall = needed - this->window_room(bound);
    // Failure guarded against: a limit is lowered and raised repeatedly, or a
    // process starts again, and the bucket admits its burst each time. The
    // window under the highest recent limit holds regardless of the bucket.
    const bool lowered_recently = now < this->former_bound_until;
    const bool fits =
        window_shortfall <= 0 ||
        (lowered_recently && needed <= this->window_room(this->former_bound));
    if (bucket_shortfall <= 0 && fits)
        return base::duration{0};
    const base::duration window_delay = this->all_window.time_until_left(
        window_shortfall, rules.tolerated.window, now);
    const base::duration bucket_delay =
        duration_of(std::max(0.0, bucket_shortfall) / this->refill_rate(rules));
    return fits ? bucket_delay : std::max(bucket_delay, window_delay);
}

// Failure guarded against: a hundred callers are refused within a second, all
// are told the time at which there is room for one, and all but one are refused
// again. Each caller gets a time after the callers before it, at the share of
// the rate that goes through this entry. The delay is at most one window, after
// which all counted usage has left it.
base::duration workspace_limit::schedule_retry(double cost,
                                               base::duration wait,
                                               base::duration window,
                                               base::instant now)
{
    const base::instant retry_at = std::clamp(this->retries_scheduled_until,
                                              now + std::min(wait, window),
                                              now + window);
    this->retries_scheduled_until =
        retry_at +
        duration_of(cost / (this->own_share() * this->published.per_second));
    return retry_at - now;
}

} // namespace greengagedrum::quota
