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

// Parts of the tolerated slack and overshoot that a bucket may be overdrawn by.
// The rest covers messages under way and processes that start.
constexpr double slack_part = 0.25;
constexpr double overshoot_part = 0.4;

// A bucket follows what another process knew of the window in as many steps.
constexpr std::size_t parts_followed = 32;

// Beyond the limit, of the bucket: what more urgent requests ask for within
// this time, and the most that is kept for them.
constexpr base::duration kept_ahead = std::chrono::milliseconds(500);
constexpr double kept_most = 0.5;

// Of the cost of a more urgent request: next to nothing.
constexpr double small_part = 0.05;

// Of the rate, for callers that an entry refused though it let through nothing.
constexpr double least_share = 0.02;

} // namespace

workspace_limit::workspace_limit(const routing::usage_limit& limit,
                                 const tolerance& allowed,
                                 base::instant now)
    : limit(limit), level(std::min(1.0, allowed.overshoot) * limit.burst),
      filled_at(now)
{
}

double workspace_limit::pace(const limit_rules& rules) const
{
    if (!rules.window_known)
        return this->limit.per_second;
    return this->window_bound(rules) / seconds_of(rules.allowed.window);
}

// What absent peers are assumed to use is not given out here.
void workspace_limit::fill(const limit_rules& rules, base::instant now)
{
    const double part = 1 - this->absent.share;
    const double filled = this->level + part * this->pace(rules) *
                                            seconds_of(now - this->filled_at);
    this->level = std::min(part * this->limit.burst, filled);
    this->filled_at = now;
}

void workspace_limit::restore(double amount,
                              const limit_rules& rules,
                              base::instant now)
{
    this->fill(rules, now);
    this->level = std::min(this->limit.burst, this->level + amount);
}

void workspace_limit::follow_window(const limit_rules& rules, base::instant now)
{
    const std::vector<double> used =
        this->recent.by_part(parts_followed, rules.allowed.window, now);
    const double filled = this->window_bound(rules) / parts_followed;
    this->level = this->limit.burst;
    std::for_each(used.rbegin(), used.rend(), [&](double part) {
        this->level = std::min(this->limit.burst, this->level + filled) - part;
    });
    this->filled_at = now;
}

void workspace_limit::drop_old(base::duration window, base::instant now)
{
    this->recent.drop_old(window, now);
    this->own_recent.drop_old(window, now);
}

void workspace_limit::change(const routing::usage_limit& published,
                             const limit_rules& rules,
                             base::instant now)
{
    this->fill(rules, now);
    const bool lowered = published.per_second < this->limit.per_second ||
                         published.burst < this->limit.burst;
    if (lowered) {
        const double before = this->window_bound(rules);
        this->earlier_bound = now < this->earlier_until
                                  ? std::max(this->earlier_bound, before)
                                  : before;
        this->earlier_until = now + rules.allowed.window;
        // What was let through under the limit before is no debt.
        this->level = std::max(this->level, 0.0);
    }
    this->limit = published;
    this->level = std::min(this->level, this->limit.burst);
}

// A process that knows nothing of the window before its start has no margin:
// whoever was there before may have used it.
double workspace_limit::margin(const limit_rules& rules) const
{
    if (!rules.window_known)
        return 0;
    return slack_part * rules.allowed.slack +
           overshoot_part * rules.allowed.overshoot * this->limit.burst;
}

double workspace_limit::window_bound(const limit_rules& rules) const
{
    return this->limit.per_second * seconds_of(rules.allowed.window) +
           this->limit.burst + this->margin(rules);
}

// What a window of that bound still holds for this entry and those it hears. Of
// what was left when the others fell silent only its part, since they may use
// theirs at any moment.
double workspace_limit::room(double bound) const
{
    const double part = 1 - this->absent.share;
    const double before =
        part < 1 ? this->recent.sum_before(this->absent.since) : 0;
    const double since =
        this->recent.sum() - before + this->own_waiting + this->peers_waiting;
    return part * (bound - before) - since;
}

double workspace_limit::own_share() const
{
    const double all = this->recent.sum();
    return all > 0 ? std::clamp(this->own_recent.sum() / all, least_share, 1.0)
                   : 1.0;
}

// Failure guarded against: a workspace asks for several times its limit, and
// its notes use what its dossiers are refused for. Requests that cost next to
// nothing beside those leave them enough in any case.
double workspace_limit::reserved_for_higher_priority(double cost,
                                                     std::uint32_t priority,
                                                     const limit_rules& rules,
                                                     base::instant now) const
{
    const double share = this->own_share();
    const double urgent_cost = this->demand.urgent_cost(priority, now);
    if (this->demand.all(now) <= share * this->pace(rules) ||
        cost <= small_part * urgent_cost)
        return 0;
    const double expected = this->demand.more_urgent(priority, now) / share *
                            seconds_of(kept_ahead);
    const double kept = std::min(kept_most * this->limit.burst, expected);
    return this->demand.starved(priority, now) ? std::min(kept, urgent_cost)
                                               : kept;
}

base::duration workspace_limit::until_allowed(double cost,
                                              std::uint32_t priority,
                                              const limit_rules& rules,
                                              base::instant now) const
{
    const double part = 1 - this->absent.share;
    const double wanted = cost + part * this->reserved_for_higher_priority(
                                            cost, priority, rules, now);
    const double missing = wanted - this->level - part * this->margin(rules);
    const double bound = this->window_bound(rules);
    const double lacking = wanted - this->room(bound);
    // Failure guarded against: a limit is lowered and raised again and again,
    // or a process starts anew; the bucket then lets its burst through each
    // time. Whatever it says, the window under the highest limit lately holds.
    const bool lowered_lately = now < this->earlier_until;
    const bool fits =
        lacking <= 0 ||
        (lowered_lately && wanted <= this->room(this->earlier_bound));
    if (missing <= 0 && fits)
        return base::duration{0};
    const base::duration left =
        this->recent.until_left(lacking, rules.allowed.window, now);
    const base::duration filled =
        duration_of(std::max(0.0, missing) / this->pace(rules));
    return fits ? filled : std::max(filled, left);
}

// Failure guarded against: a hundred callers are refused within a second, are
// all told when there is room for one, and all but one are refused again. Each
// is told the time after those before it, by the part of the rate that goes
// through this entry. None waits for longer than a window: by then all that is
// counted has left it.
base::duration workspace_limit::promise_return(double cost,
                                               base::duration wait,
                                               base::duration window,
                                               base::instant now)
{
    const base::instant at = std::clamp(
        this->promised_until, now + std::min(wait, window), now + window);
    this->promised_until =
        at + duration_of(cost / (this->own_share() * this->limit.per_second));
    return at - now;
}

} // namespace greengagedrum::quota
