// One workspace's limit at one entry: what all entries sent within the
// operator's window, and a bucket of the published burst that spreads what the
// window may hold evenly over it. A request needs room in both.
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
    double overshoot = 0; // share of the limit
    double slack = 0;     // in the limit's unit, over all entries
};

// What holds for all limits of an entry at a moment.
struct limit_rules {
    tolerance tolerated;
    // The entry knows what was let through in the window, also before it began
    // to count.
    bool window_known = false;
};

struct workspace_limit {
    // As of a process that starts now. It does not know what was let through
    // before, and gives out no more of a burst at once than the operator
    // tolerates beyond a limit.
    workspace_limit(const routing::usage_limit& published,
                    const tolerance& tolerated,
                    base::instant now);

    void refill(const limit_rules& rules, base::instant now);
    void refund(double amount, const limit_rules& rules, base::instant now);
    void drop_expired(base::duration window, base::instant now);
    // The bucket as the uses within the window leave it, full before them.
    void replay_window(const limit_rules& rules, base::instant now);

    // The operator publishes another one.
    void set_published(const routing::usage_limit& published,
                       const limit_rules& rules,
                       base::instant now);

    // What a window may hold.
    double window_bound(const limit_rules& rules) const;

    // How long until a request of that cost is within the limit, and leaves
    // enough for those more urgent.
    base::duration time_until_admitted(double cost,
                                       std::uint32_t priority,
                                       const limit_rules& rules,
                                       base::instant now) const;

    // What such a request leaves for those more urgent: nothing within the
    // limit.
    double reserved_for_higher_priority(double cost,
                                        std::uint32_t priority,
                                        const limit_rules& rules,
                                        base::instant now) const;

    // When a caller that is refused now is to come back: there is room then
    // for it and for all that were refused before it. `wait`: until there is
    // room for it alone.
    base::duration schedule_retry(double cost,
                                  base::duration wait,
                                  base::duration window,
                                  base::instant now);

    routing::usage_limit published;
    double bucket_level = 0; // of the bucket; below zero: overdrawn
    base::instant refilled_at;
    // The highest that was allowed in a window until then.
    double former_bound = 0;
    base::instant former_bound_until;
    double own_sent = 0;    // since the process started
    double own_waiting = 0; // let through, not sent
    double peers_waiting = 0;
    window_sum own_window;
    window_sum all_window;  // all entries'
    priority_demand demand; // of the requests that are counted here
    // From before this process: what peers told of themselves, and what was
    // counted.
    double reported_by_peers = 0;
    double counted_history = 0;
    assumed_usage silent_usage;
    // Room until then is promised to callers that were refused.
    base::instant retries_scheduled_until;

private:
    // At which the bucket fills, a second: what a window may hold, evenly
    // spread over it, or the rate alone while the window is not known.
    double refill_rate(const limit_rules& rules) const;
    double margin(const limit_rules& rules) const;
    double window_room(double bound) const;
    // Of what all entries used lately, the part that went through this one.
    double own_share() const;
};

} // namespace greengagedrum::quota
