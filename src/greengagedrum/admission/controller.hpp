// Orders the requests that wait for an upstream and selects the request to
// evict when the queues are full.
//
// There is one queue per upstream class, model and tier, for requests of the
// same class and model share their candidate upstreams. A request's latest
// start is its deadline minus its expected run time; within a queue the request
// with the least slack, that is, the earliest latest start, goes first. Across
// tiers the higher tier goes first, except for the floor: a queue without a
// grant for its `floor_age` is offered ahead of all others, so that
// long-running work advances during an endless burst of higher tiers. The
// caller decides on any further conditions for a floor grant and on whether an
// upstream has a free slot.
//
// A request held back by a limit of its workspace waits in a separate queue per
// limit and does not block requests under other limits.
#pragma once

#include <greengagedrum/admission/limiter.hpp>
#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_spec.hpp>
#include <greengagedrum/base/verdict.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace greengagedrum::admission
{

struct options {
    std::size_t waiting_max = 20'000; // requests, all tiers together

    // Time without a grant after which a queue is offered ahead of all others,
    // by tier.
    std::array<base::duration, base::tier_count> floor_age = {
        std::chrono::milliseconds(0),
        std::chrono::milliseconds(250),
        std::chrono::milliseconds(500),
        std::chrono::milliseconds(1000)};

    // Fraction of a class's slots that each tier may hold through floor grants;
    // at least one slot.
    double floor_share = 0.125;

    // Slots beyond the allowance that higher tiers may use, as a fraction of
    // the allowance; at least one slot, or none when zero.
    double overdraft_share = 0.5;

    // Requests in flight on an upstream, as a multiple of the allowance, at
    // which nothing more is dispatched there, whatever the tier.
    std::uint32_t hard_factor = 4;

    // Maximum number of times one request is cancelled for a higher tier.
    std::uint32_t preemptions_max = 2;

    // A waiting request is shed when its run time estimate times this factor
    // exceeds the time left: a request that starts later usually ends after its
    // deadline.
    double shed_estimate_factor = 1.25;

    // A tier is in distress when the estimate times this factor exceeds the
    // time left. That is early enough for running requests of lower tiers to
    // finish.
    double distress_estimate_factor = 1.25;

    // Time for which one sign of a tier's distress keeps lower tiers from
    // starting.
    base::duration distress_hold = std::chrono::seconds(10);
};

enum class grant : std::uint8_t { ordinary, floor };

// Dispatches one waiting request to an upstream. Returns false when no upstream
// has a free slot.
using dispatch_callback =
    std::function<bool(base::request_id, const base::request_spec&, grant)>;

class controller
{
public:
    explicit controller(const options& limits) : limits(limits) {}

    void set_limits(const std::map<limit_key, limit>& bounds)
    {
        this->limiter.set_limits(bounds);
    }

    // Queues a request. `expected` is its expected run time;
    // `dispatched_before` is true for a request that was dispatched before and
    // returns for a retry. When the queues are full, removes and returns the
    // request with the most slack of the lowest tier, which may be the new one.
    // Requests dispatched before are never evicted: they would end as
    // `may_have_run`, and there are never more of them than there were requests
    // in flight.
    std::optional<base::request_id> enqueue(base::request_id request,
                                            const base::request_spec& item,
                                            base::duration expected,
                                            bool dispatched_before,
                                            base::instant now);

    // Removes the request from its queue and stops counting it against its
    // limits.
    void forget(base::request_id request);

    // Removes the request from its queue; it still counts against its limits.
    void remove(base::request_id request);

    // Offers waiting requests in order until `try_dispatch` has refused one per
    // class and model. Dispatched requests are removed from their queues.
    void offer(base::instant now, const dispatch_callback& try_dispatch);

    // When offer() may dispatch more requests without any other event.
    std::optional<base::instant> next_wake() const { return this->wake_at; }

    // Summed expected run time of all requests that are queued ahead of `item`.
    base::duration run_time_ahead_of(const base::request_spec& item) const;

    // True when a request of a lower tier waits for the same class and model.
    bool has_lower_tier_waiting(const base::request_spec& item) const;

    // True when a limit of its workspace holds the request back.
    bool is_held(base::request_id request) const;

    // Estimated time until the limit admits the request, from the requests held
    // ahead of it and the token bucket.
    base::duration limit_hold_time(const base::request_spec& item,
                                   base::duration expected,
                                   base::instant now) const;

    std::uint32_t held_count(const limit_key& key) const;

    std::size_t waiting() const { return this->entries.size(); }
    std::array<std::uint32_t, base::tier_count>
    waiting_by_tier(base::upstream_class_id upstream_class) const;

    const admission::limiter& request_limiter() const { return this->limiter; }

private:
    struct queue_position {
        base::instant latest_start;
        base::request_id request;
        auto operator<=>(const queue_position&) const = default;
    };
    struct queue {
        std::set<queue_position> order;
        base::duration expected{0};  // sum over the queue
        base::instant stalled_since; // last grant, or last time empty
    };
    using tier_queues = std::array<queue, base::tier_count>;
    using model_queues = std::map<base::model_id, tier_queues>;
    struct entry {
        base::request_spec work;
        base::duration expected{0};
        queue_position position;
        bool held = false;
        bool dispatched_before = false;
    };

    queue& queue_of(const base::request_spec& item);
    const tier_queues* tier_queues_of(const base::request_spec& item) const;
    void insert(const entry& item, base::instant now);
    void release_held_queues(base::instant now);
    void offer_floor(model_queues& queues_by_model,
                     base::instant now,
                     const dispatch_callback& try_dispatch);
    void offer_ordinary(model_queues& queues_by_model,
                        base::instant now,
                        const dispatch_callback& try_dispatch);
    bool offer_first(queue& waiting,
                     base::instant now,
                     const dispatch_callback&,
                     grant how);
    std::optional<base::request_id> evict_lowest();
    std::optional<queue_position> evictable_entry(const queue& waiting) const;
    void schedule_wake(base::instant now, base::instant at);
    void schedule_floor_wakes(base::instant now);

    options limits;
    admission::limiter limiter;
    std::unordered_map<base::request_id, entry> entries;
    std::map<base::upstream_class_id, model_queues> classes;
    std::map<limit_key, queue> held_queues;
    std::optional<base::instant> wake_at;
};

} // namespace greengagedrum::admission
