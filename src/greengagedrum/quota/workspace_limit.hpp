// One workspace's limit at one entry: the usage of all entries within the
// operator's window, and a token bucket of the published burst that spreads the
// window's bound evenly over it. A request needs room in both.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/priority_demand.hpp>
#include <greengagedrum/quota/silent_peers.hpp>
#include <greengagedrum/quota/window_sum.hpp>
#include <greengagedrum/routing/configuration.hpp>

namespace greengagedrum::quota
{

struct tolerance {
    base::duration window = std::chrono::seconds(8);
    double overshoot = 0; // as a part of the limit
    double slack = 0;     // in the limit's unit, over all entries
};

// The current rules, the same for all limits of an entry.
struct limit_rules {
    tolerance tolerated;
    // This entry knows what was sent within the window, also before it began to
    // count.
    bool window_known = false;
};

struct workspace_limit {
    // For a process that starts now: it does not know the usage before, and
    // admits no more of a burst at once than the tolerated overshoot.
    workspace_limit(const routing::usage_limit& published,
                    const tolerance& tolerated,
                    base::instant now);

    void refill(const limit_rules& rules, base::instant now);
    void refund(double amount, const limit_rules& rules, base::instant now);
    void drop_expired(base::duration window, base::instant now);
    // Sets the bucket to the level that follows from the usage within the
    // window, starting full.
    void replay_window(const limit_rules& rules, base::instant now);

    // Applies a newly published limit.
    void set_published(const routing::usage_limit& published,
                       const limit_rules& rules,
                       base::instant now);

    // The most that a window may hold.
    double window_bound(const limit_rules& rules) const;

    // How long until a request of that cost is admitted and leaves enough for
    // higher priorities.
    base::duration time_until_admitted(double cost,
                                       std::uint32_t priority,
                                       const limit_rules& rules,
                                       base::instant now) const;

    // What such a request has to leave to higher priorities; 0 while demand is
    // within the limit.
    double reserved_for_higher_priority(double cost,
                                        std::uint32_t priority,
                                        const limit_rules& rules,
                                        base::instant now) const;

    // Returns the retry delay of a caller that is refused now: until there is
    // room for it and for all callers that were refused before it. `wait`:
    // until there is room for it alone.
    base::duration schedule_retry(double cost,
                                  base::duration wait,
                                  base::duration window,
                                  base::instant now);

    routing::usage_limit published;
    double bucket_level = 0; // negative: overdrawn
    base::instant refilled_at;
    // The highest bound before the limit was lowered; valid until the time
    // below.
    double former_bound = 0;
    base::instant former_bound_until;
    double own_sent = 0;    // since the process started
    double own_waiting = 0; // admitted, not sent yet
    double peers_waiting = 0;
    window_sum own_window;
    window_sum all_window;  // of all entries
    priority_demand demand; // of the requests that this entry counts
    // Usage before this process started: what peers reported of their own, and
    // what was counted.
    double reported_by_peers = 0;
    double counted_history = 0;
    assumed_usage silent_usage;
    // Refused callers were promised room up to this time.
    base::instant retries_scheduled_until;

private:
    // Rate at which the bucket fills, a second: the bound of a window spread
    // evenly over it, or the published rate while the window isn't known.
    double refill_rate(const limit_rules& rules) const;
    double margin(const limit_rules& rules) const;
    double window_room(double bound) const;
    // The share of the recent usage of all entries that went through this one.
    double own_share() const;
};

} // namespace greengagedrum::quota
