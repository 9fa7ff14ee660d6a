// The queue of requests that wait at this entry for a slot of an upstream, and
// their order.
//
// The more urgent request goes first, however long it has waited. Among equally
// urgent ones it is the one that has to start first to be of any use, by the
// time that its caller has and the expected first event; of two that have to
// start at the same time, the kind that holds its slot for less.
//
// A priority that was recently served at less than a given fraction of the
// overall rate gets the next slot, so that no priority starves in an endless
// burst.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/traffic/hold_time_distribution.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

struct waiting_request {
    base::request_id request;
    base::kind_id kind;
    std::uint32_t priority = 0;
    base::instant give_up_at; // latest start that is of any use to its caller
};

// Queued requests by priority; the last level also counts all lower priorities.
// Levels are priorities of workspaces times those of routes. With four levels,
// all kinds of all workspaces but the most urgent shared one, and urgent
// requests were estimated to wait behind the least urgent kind.
inline constexpr std::size_t priority_levels = 12;
using queue_lengths = std::array<std::uint32_t, priority_levels>;

std::size_t level_of(std::uint32_t priority);

// An exponentially decaying count of recent events. `memory` is the time
// constant in seconds.
class decaying_count
{
public:
    explicit decaying_count(double memory) : memory(memory) {}

    void add(base::instant now);
    double at(base::instant now) const;
    double per_second(base::instant now) const;

private:
    double memory;
    double sum = 0;
    base::instant last;
};

class wait_queue
{
public:
    void add(const waiting_request& item, base::instant now);
    void remove(base::request_id request);

    bool empty() const { return this->items.empty(); }
    std::size_t size() const { return this->items.size(); }

    // The queued requests in the order in which they get slots.
    std::vector<waiting_request> in_order(base::instant now) const;

    // Total hold time in seconds of the queued requests that go before `item`.
    double seconds_ahead(const waiting_request& item) const;

    // Priorities that were served too seldom recently and go before all others.
    using level_flags = std::array<bool, priority_levels>;
    level_flags starved(base::instant now) const;

    // Records the arrival of a request, whether it is queued or refused.
    void arrived(std::uint32_t priority, base::instant now);

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

    // Expected wait in seconds, from the recent service rate of the request's
    // priority. The rate accounts for more urgent requests that arrive
    // meanwhile. Zero while nothing waits or too little is known.
    double wait_by_service_rate(const waiting_request& item,
                                base::instant now) const;

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
        base::instant give_up_at;
        double hold = 0; // seconds
        base::request_id request;

        auto operator<=>(const order_key&) const = default;
    };

    order_key key_of(const waiting_request& item) const;

    std::vector<waiting_request> items;
    std::unordered_map<base::kind_id, double> holds; // seconds
    double mean_hold = unknown_hold;                 // seconds
    std::unordered_map<base::kind_id, hold_time_distribution> hold_times;
    struct level_state {
        base::instant queued_since; // non-empty ever since
        decaying_count arrived{starvation_memory};
        decaying_count served{starvation_memory};
        decaying_count served_lately{rate_memory};
    };

    std::array<level_state, priority_levels> levels;
};

} // namespace greengagedrum::traffic
