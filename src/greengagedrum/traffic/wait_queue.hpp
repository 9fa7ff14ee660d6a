// The requests that wait at this entry for a place on an upstream, and the
// order in which they get one.
//
// The load it answers: bursts of twice what the upstreams can run. Three rules
// make the order.
//  * The more urgent goes first, but one that has missed its objective anyway
//    counts as one step less urgent: it then shares a rank with fresh work of
//    the next step, of which most can still be in time.
//  * Within a rank the kind that holds a place for the shorter time goes
//    first: it delays the others least.
//  * Within a kind, the earliest objective goes first.
// A priority that was served less than a part as often as all together lately
// gets the next place, so that none starves in a burst that never ends.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

struct waiting_request {
    base::request_id request;
    base::kind_id kind;
    std::uint32_t priority = 0;
    base::instant objective_at; // last start that meets its objective
    base::instant give_up_at;   // last start that is of any use
};

// Waiting requests by priority; the last one counts all beyond. Priorities of
// workspaces times those of routes: with four, all kinds of all but the most
// urgent workspaces were one, and dossiers were thought to wait behind notes.
inline constexpr std::size_t priority_levels = 12;
using queue_lengths = std::array<std::uint32_t, priority_levels>;

std::size_t level_of(std::uint32_t priority);

// How many things happened lately; each fades over `memory` seconds.
class fading_count
{
public:
    explicit fading_count(double memory) : memory(memory) {}

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

    // In the order in which they are to get places.
    std::vector<waiting_request> in_order(base::instant now) const;

    // Those that go before such a request, in seconds that they will hold a
    // place for.
    double seconds_ahead(const waiting_request& item, base::instant now) const;

    // Priorities that were served so seldom lately that they go before all.
    using level_flags = std::array<bool, priority_levels>;
    level_flags starved(base::instant now) const;

    // One of that priority has come, to wait or to be refused.
    void arrived(std::uint32_t priority, base::instant now);

    // One of that priority got a place.
    void served(std::uint32_t priority, base::instant now);

    // A request of that kind held its place for so long.
    void learn_hold(base::kind_id kind, base::duration held);
    double hold_seconds(base::kind_id kind) const;

    // How long such a request would wait by what its priority was given
    // lately: what is more urgent comes in meanwhile and goes first. Zero
    // while nothing waits or too little is known.
    double seconds_by_rate(const waiting_request& item,
                           base::instant now) const;

    // By priority as it counts now, see `rank`.
    queue_lengths counts(base::instant now) const;

    // Priority, one step more when it is late.
    static std::uint32_t rank(const waiting_request& item, base::instant now);

private:
    // Long enough that a burst of seconds, in which the least urgent wait,
    // weighs no more than the quiet time before it.
    static constexpr double floor_memory = 15; // seconds
    static constexpr double rate_memory = 2;   // seconds

    bool goes_before(const waiting_request& left,
                     const waiting_request& right,
                     base::instant now) const;

    std::vector<waiting_request> items;
    std::unordered_map<base::kind_id, double> holds; // seconds
    struct level_state {
        base::instant queued_since; // something has waited ever since
        fading_count arrived{floor_memory};
        fading_count served{floor_memory};
        fading_count served_lately{rate_memory};
    };

    std::array<level_state, priority_levels> levels;
};

} // namespace greengagedrum::traffic
