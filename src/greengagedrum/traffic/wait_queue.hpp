// The queue of requests that wait at this entry for a slot of an upstream, and
// their order.
//
// The more urgent request goes first, however long it has waited. Among equally
// urgent ones it is the one that has to start first to be of any use, by the
// time that its caller has and the expected first event; of two that have to
// start at the same time, the kind that holds its slot for less.
//
// A priority's queue stands once a request of it has waited for longer than its
// answer is expected to take. The newest then goes first, so that a burst
// delays its own callers and not those that come when it is over. The others
// are overtaken and get the slots that arrivals leave; as large a fraction of
// the slots is kept for those of them that are close to their latest start.
// Those that are out of reach either way can be refused while their callers
// have time for another try.
//
// A priority that was recently served at less than a given fraction of the
// overall rate gets the next slot, so that no priority starves in an endless
// burst.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/traffic/decaying_count.hpp>
#include <greengagedrum/traffic/hold_time_distribution.hpp>
#include <greengagedrum/traffic/offered_load.hpp>
#include <greengagedrum/traffic/priority_level.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

struct waiting_request {
    base::request_id request;
    base::kind_id kind;
    std::uint32_t priority = 0;
    base::instant queued_at;
    // It has waited for longer than its answer takes from then on, and requests
    // that come later go first.
    base::instant overtaken_from = base::instant::max();
    base::instant give_up_at; // latest start that is of any use to its caller

    bool is_overtaken(base::instant now) const
    {
        return now >= this->overtaken_from;
    }
    // It has waited for as long as callers wait between two tries.
    bool may_be_refused_early(base::instant now) const
    {
        return now >= this->queued_at + this->longest_retry_wait();
    }
    // Overtaken, and close to its latest start.
    bool is_near_latest_start(base::instant now) const
    {
        return this->is_overtaken(now) && now < this->give_up_at &&
               now >= this->give_up_at - this->longest_retry_wait();
    }

private:
    base::duration longest_retry_wait() const;
};

// Queued requests by priority level.
using queue_lengths = std::array<std::uint32_t, priority_levels>;

class wait_queue
{
public:
    void add(const waiting_request& item, base::instant now);
    void remove(base::request_id request);
    // The request got a slot.
    void take(const waiting_request& item, base::instant now);

    bool empty() const { return this->items.empty(); }
    std::size_t size() const { return this->items.size(); }

    // Sets how many slots this entry may count on.
    void set_slots(double slots) { this->slots = slots; }

    // The queued requests in the order in which they get slots.
    std::vector<waiting_request> in_order(base::instant now) const;

    // The requests that have waited their part and can't be reached before
    // their latest start: neither newest first nor by the slots that are kept
    // for latest starts.
    std::vector<base::request_id> out_of_reach(base::instant now) const;

    // Expected wait in seconds of a request that is queued or would be.
    double expected_wait(const waiting_request& item, base::instant now) const;

    // Priorities that were served too seldom recently and go before all others.
    using level_flags = std::array<bool, priority_levels>;
    level_flags starved(base::instant now) const;

    // Records the arrival of a request, whether it is queued or refused.
    void arrived(base::kind_id kind, std::uint32_t priority, base::instant now);

    // Records that a request of that priority got a slot.
    void served(std::uint32_t priority, base::instant now);

    // Records how long a request of that kind held its slot.
    void record_hold(base::kind_id kind, base::duration hold_time);
    double hold_seconds(base::kind_id kind) const;
    // Mean over the requests of all kinds that ended recently.
    double mean_hold_seconds() const { return this->mean_hold; }
    // Records that a request of that kind was cut after it held its slot for
    // that long.
    void record_cut(base::kind_id kind, base::duration hold_time);
    // The time within which that share of the kind's requests free their slot;
    // nothing while too little is known.
    std::optional<base::duration> hold_quantile(base::kind_id kind,
                                                double share) const;

    // Queue lengths by priority.
    queue_lengths lengths() const;

private:
    // Hold time of a kind that was never run here: about the length of a short
    // stream.
    static constexpr double unknown_hold = 0.5; // seconds
    // Long enough for a burst of a few seconds, in which the least urgent
    // requests wait, to weigh no more than the quiet time before it.
    static constexpr double starvation_memory = 15; // seconds
    static constexpr double rate_memory = 2;        // seconds

    // What decides which of two requests gets a slot first, most important
    // part first; less goes before.
    struct order_key {
        std::uint32_t priority = 0;
        bool may_be_overtaken = false;
        // The latest start or, in a queue that stands, how long it has waited.
        base::duration rank{0};
        double hold = 0; // seconds
        base::request_id request;

        auto operator<=>(const order_key&) const = default;
    };

    level_flags standing(base::instant now) const; // queues that stand
    order_key key_of(const waiting_request& item,
                     const level_flags& standing,
                     base::instant now) const;
    std::vector<waiting_request> sorted(base::instant now) const;
    void move_latest_start_forward(std::span<waiting_request> level,
                                   base::instant now) const;
    // Slots that arrivals of that level and of more urgent ones leave on
    // average.
    double spare_slots(std::size_t level, base::instant now) const;
    // Of a request with that many equally urgent ones ahead, from the recent
    // service rate of its priority, which accounts for more urgent requests
    // that arrive meanwhile. Zero while nothing waits or too little is known.
    double wait_by_service_rate(std::uint32_t priority,
                                std::size_t ahead,
                                base::instant now) const;
    double add_out_of_reach(std::span<const waiting_request> level,
                            double more_urgent,
                            base::instant now,
                            std::vector<base::request_id>& out) const;

    std::vector<waiting_request> items;
    double slots = 1;
    std::unordered_map<base::kind_id, double> holds; // seconds
    double mean_hold = unknown_hold;                 // seconds
    std::unordered_map<base::kind_id, hold_time_distribution> hold_times;
    offered_load load{starvation_memory};
    struct level_state {
        base::instant queued_since; // non-empty ever since
        decaying_count arrived{starvation_memory};
        decaying_count served{starvation_memory};
        decaying_count served_lately{rate_memory};
        // Slots kept for requests that are close to their latest start.
        double latest_start_credit = 0;
    };

    std::array<level_state, priority_levels> levels;
};

} // namespace greengagedrum::traffic
