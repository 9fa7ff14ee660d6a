// Orders the requests that wait for an upstream, and says which of them gives
// up its place when the line is full.
//
// One queues for each class and model, for those share their candidates; a line
// for each tier in a queues. Within a line the least slack goes first: the
// latest start that still meets the deadline. Across tier_queues the higher
// tier goes first, but for the floor: a line that was given nothing for its
// `floor_age` is offered ahead of all, so that long work advances under a
// burst that never ends. Whether the floor is due beyond that, and whether an
// upstream has room, is the caller's to say.
//
// A request held back by a limit of its workspace waits apart and blocks
// nobody.
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
    std::size_t waiting_max = 20'000; // requests, over all tiers

    // How long a line may go without a grant before the floor is due.
    std::array<base::duration, base::tier_count> floor_age = {
        std::chrono::milliseconds(0),
        std::chrono::milliseconds(250),
        std::chrono::milliseconds(500),
        std::chrono::milliseconds(1000)};

    // Part of a class's places that each tier may hold by the floor, and at
    // least one place.
    double floor_share = 0.125;

    // Places beyond the allowance that higher tiers may take, as a part of
    // it, and at least one; none when zero.
    double overdraft_share = 0.5;

    // In flight over allowance beyond which nothing is sent, whoever waits.
    std::uint32_t hard_factor = 4;

    // How often one request may be cancelled for a higher tier.
    std::uint32_t preemptions_max = 2;

    // A request is given up on when this many times its estimate is more than
    // the time left: one that starts later ends late as a rule.
    double shed_estimate_factor = 1.25;

    // A tier is in distress when this many times the estimate is more than
    // the time left: early enough for what runs to drain away.
    double distress_estimate_factor = 1.25;

    // How long one sign of a tier's distress keeps lower tiers from starting.
    base::duration distress_hold = std::chrono::seconds(10);
};

enum class grant : std::uint8_t { ordinary, floor };

// Takes one waiting request to an upstream; false when there is no room.
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

    // Puts a request in line; `expected` is how long it will run,
    // `dispatched_before` that it was with an upstream before. Returns the
    // request that gives up its place when the line is full: the one with the
    // most slack of the lowest tier, which may be this one. It is no longer in
    // line. One that returns never gives up its place: it would end
    // `may_have_run`, and there are no more of them than were in flight.
    std::optional<base::request_id> enqueue(base::request_id request,
                                            const base::request_spec& item,
                                            base::duration expected,
                                            bool dispatched_before,
                                            base::instant now);

    // Takes it out of line and stops counting it against its limits.
    void forget(base::request_id request);

    // Takes it out of line; it still counts against its limits.
    void remove(base::request_id request);

    // Offers waiting requests in order until `place` has refused one of each
    // queues. Those that `place` took are no longer in line.
    void offer(base::instant now, const dispatch_callback& try_dispatch);

    // When offer() may have more to give without any other event.
    std::optional<base::instant> next_wake() const { return this->wake_at; }

    // How long all that goes before this work would run, one after another.
    base::duration run_time_ahead_of(const base::request_spec& item) const;

    // True when work of a lower tier waits in the same queues.
    bool has_lower_tier_waiting(const base::request_spec& item) const;

    // True when a limit of its workspace held_queues the request back.
    bool is_held(base::request_id request) const;

    // Until its limit may let it through, by what is held before it.
    base::duration limit_hold_time(const base::request_spec& item,
                                   base::duration expected,
                                   base::instant now) const;

    std::uint32_t held_count(const limit_key& key) const;

    std::size_t waiting() const { return this->entries.size(); }
    std::array<std::uint32_t, base::tier_count>
    waiting_by_tier(base::upstream_class_id upstream_class) const;

    const admission::limiter& limits_in_use() const { return this->limiter; }

private:
    struct queue_position {
        base::instant latest_start;
        base::request_id request;
        auto operator<=>(const queue_position&) const = default;
    };
    struct queue {
        std::set<queue_position> order;
        base::duration expected{0};  // of all in it
        base::instant stalled_since; // last grant, or when it was last empty
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
    void offer_floor(model_queues& own,
                     base::instant now,
                     const dispatch_callback& try_dispatch);
    void offer_ordinary(model_queues& own,
                        base::instant now,
                        const dispatch_callback& try_dispatch);
    bool offer_first(queue& own,
                     base::instant now,
                     const dispatch_callback& try_dispatch,
                     grant how);
    std::optional<base::request_id> evict_lowest();
    std::optional<queue_position> evictable_entry(const queue& own) const;
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
