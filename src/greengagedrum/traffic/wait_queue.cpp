#include <greengagedrum/base/retry_after.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/wait_queue.hpp>

#include <algorithm>
#include <numeric>

namespace greengagedrum::traffic
{

namespace
{

// A priority is starved when it was served at less than this fraction of the
// overall rate: long work finishes even under strain, and no kind is served
// less than a quarter as often as all. The margin covers entries that see
// different mixes of requests.
constexpr double starvation_ratio = 0.3;
constexpr double starvation_arrivals_min = 3; // arrivals needed for a decision

constexpr double hold_weight = 0.1;

// The service rate of a priority is used only once its queue has been non-empty
// for this long.
constexpr double rate_least = 0.2; // requests a second
constexpr base::duration rate_known_after = std::chrono::milliseconds(600);

// The expected wait of an overtaken request while there are no spare slots.
constexpr double endless_wait = 3600; // seconds

// Kept slots that no request needed are not saved up.
constexpr double credit_max = 2; // slots

// Hold times, in seconds, of the requests that go before one that is overtaken.
struct hold_sums {
    double more_urgent = 0;
    double newer = 0;          // equally urgent, in the order of the queue
    double earlier_starts = 0; // equally urgent, with an earlier latest start
};

double overtaken_wait(const hold_sums& ahead, double spare_slots)
{
    const double before =
        ahead.more_urgent + std::min(ahead.newer, ahead.earlier_starts);
    return before < spare_slots * endless_wait ? before / spare_slots
                                               : endless_wait;
}

// Calls `visit` with the requests of each level. `sorted`: by priority.
template <class Visit>
void for_each_level(std::span<waiting_request> sorted, const Visit& visit)
{
    while (!sorted.empty()) {
        const std::size_t level = level_of(sorted.front().priority);
        const auto end = std::find_if(
            sorted.begin(), sorted.end(), [&](const waiting_request& one) {
                return level_of(one.priority) != level;
            });
        const auto count = static_cast<std::size_t>(end - sorted.begin());
        visit(sorted.first(count));
        sorted = sorted.subspan(count);
    }
}

} // namespace

base::duration waiting_request::longest_retry_wait() const
{
    return base::longest_retry_wait(this->give_up_at - this->queued_at);
}

void wait_queue::add(const waiting_request& item, base::instant now)
{
    const std::size_t level = level_of(item.priority);
    const bool first = std::none_of(this->items.begin(),
                                    this->items.end(),
                                    [&](const waiting_request& one) {
                                        return level_of(one.priority) == level;
                                    });
    if (first)
        this->levels.at(level).queued_since = now;
    this->items.push_back(item);
}

void wait_queue::remove(base::request_id request)
{
    std::erase_if(this->items, [&](const waiting_request& one) {
        return one.request == request;
    });
}

wait_queue::level_flags wait_queue::starved(base::instant now) const
{
    std::array<double, priority_levels> arrived{};
    std::array<double, priority_levels> served{};
    for (std::size_t level = 0; level < priority_levels; ++level) {
        arrived.at(level) = this->levels.at(level).arrived.at(now);
        served.at(level) = this->levels.at(level).served.at(now);
    }
    const double all_arrived =
        std::accumulate(arrived.begin(), arrived.end(), 0.0);
    const double all_served =
        std::accumulate(served.begin(), served.end(), 0.0);
    level_flags out{};
    for (std::size_t level = 0; level < priority_levels; ++level)
        out.at(level) = all_served > 0 &&
                        arrived.at(level) >= starvation_arrivals_min &&
                        served.at(level) * all_arrived <
                            starvation_ratio * all_served * arrived.at(level);
    return out;
}

wait_queue::level_flags wait_queue::standing(base::instant now) const
{
    level_flags out{};
    for (const waiting_request& one : this->items) {
        if (one.is_overtaken(now))
            out.at(level_of(one.priority)) = true;
    }
    return out;
}

wait_queue::order_key wait_queue::key_of(const waiting_request& item,
                                         const level_flags& standing,
                                         base::instant now) const
{
    const bool may_be_overtaken = item.overtaken_from != base::instant::max();
    const bool newest_first =
        may_be_overtaken && standing.at(level_of(item.priority));
    return {item.priority,
            may_be_overtaken,
            newest_first ? now - item.queued_at
                         : item.give_up_at.time_since_epoch(),
            this->hold_seconds(item.kind),
            item.request};
}

std::vector<waiting_request> wait_queue::sorted(base::instant now) const
{
    std::vector<std::pair<order_key, std::size_t>> order;
    order.reserve(this->items.size());
    const level_flags stands = this->standing(now);
    for (std::size_t index = 0; index < this->items.size(); ++index)
        order.emplace_back(this->key_of(this->items[index], stands, now),
                           index);
    std::sort(order.begin(), order.end());
    std::vector<waiting_request> out;
    out.reserve(order.size());
    for (const auto& [key, index] : order)
        out.push_back(this->items[index]);
    return out;
}

std::vector<waiting_request> wait_queue::in_order(base::instant now) const
{
    std::vector<waiting_request> out = this->sorted(now);
    for_each_level(out, [&](std::span<waiting_request> level) {
        this->move_latest_start_forward(level, now);
    });
    // The first request of a starved priority moves to the front.
    const level_flags flags = this->starved(now);
    const auto first =
        std::find_if(out.begin(), out.end(), [&](const waiting_request& one) {
            return flags.at(level_of(one.priority));
        });
    if (first != out.end())
        std::rotate(out.begin(), first, first + 1);
    return out;
}

// Where a slot is due to those that are close to their latest start, the one
// that has to start first goes to the front of its level.
void wait_queue::move_latest_start_forward(std::span<waiting_request> level,
                                           base::instant now) const
{
    if (this->levels.at(level_of(level.front().priority)).latest_start_credit <
        1)
        return;
    auto first = level.end();
    for (auto one = level.begin(); one != level.end(); ++one) {
        if (one->is_near_latest_start(now) &&
            (first == level.end() || one->give_up_at < first->give_up_at))
            first = one;
    }
    if (first != level.end())
        std::rotate(level.begin(), first, first + 1);
}

double wait_queue::spare_slots(std::size_t level, base::instant now) const
{
    return std::max(0.0, this->slots - this->load.slots_through(level, now));
}

// Equally urgent requests that come meanwhile go before one that is overtaken,
// so it has only the slots that they leave. A slot that is kept for latest
// starts may reach it before newest first does.
double wait_queue::expected_wait(const waiting_request& item,
                                 base::instant now) const
{
    const level_flags stands = this->standing(now);
    const order_key own = this->key_of(item, stands, now);
    hold_sums ahead;
    std::size_t equally_urgent = 0;
    for (const waiting_request& one : this->items) {
        if (one.request == item.request)
            continue;
        const order_key key = this->key_of(one, stands, now);
        if (key.priority < own.priority) {
            ahead.more_urgent += key.hold;
            continue;
        }
        if (key < own) {
            ahead.newer += key.hold;
            equally_urgent += 1;
        }
        if (key.priority == own.priority && one.is_overtaken(now) &&
            one.give_up_at < item.give_up_at)
            ahead.earlier_starts += key.hold;
    }
    if (item.is_overtaken(now))
        return std::max(
            overtaken_wait(ahead,
                           this->spare_slots(level_of(item.priority), now)),
            this->wait_by_service_rate(item.priority, 0, now));
    return std::max(
        (ahead.more_urgent + ahead.newer) / std::max(1.0, this->slots),
        this->wait_by_service_rate(item.priority, equally_urgent, now));
}

double wait_queue::wait_by_service_rate(std::uint32_t priority,
                                        std::size_t ahead,
                                        base::instant now) const
{
    const std::size_t level = level_of(priority);
    const level_state& own = this->levels.at(level);
    const bool queued = std::any_of(
        this->items.begin(), this->items.end(), [&](const auto& one) {
            return level_of(one.priority) == level;
        });
    if (!queued || now - own.queued_since < rate_known_after)
        return 0;
    const double rate = own.served_lately.per_second(now);
    return static_cast<double>(ahead + 1) / std::max(rate, rate_least);
}

std::vector<base::request_id> wait_queue::out_of_reach(base::instant now) const
{
    std::vector<base::request_id> out;
    const bool any = std::any_of(
        this->items.begin(), this->items.end(), [&](const auto& one) {
            return one.is_overtaken(now) && one.may_be_refused_early(now);
        });
    if (!any)
        return out;
    std::vector<waiting_request> order = this->sorted(now);
    double more_urgent = 0; // hold times, in seconds
    for_each_level(order, [&](std::span<waiting_request> level) {
        more_urgent += this->add_out_of_reach(level, more_urgent, now, out);
    });
    return out;
}

// Returns the hold times of that level, whose requests come in their order.
double wait_queue::add_out_of_reach(std::span<const waiting_request> level,
                                    double more_urgent,
                                    base::instant now,
                                    std::vector<base::request_id>& out) const
{
    struct overtaken {
        const waiting_request* item;
        double newer;
    };
    std::vector<overtaken> by_latest_start;
    double all = 0;
    for (const waiting_request& one : level) {
        if (one.is_overtaken(now))
            by_latest_start.push_back({&one, all});
        all += this->hold_seconds(one.kind);
    }
    std::stable_sort(by_latest_start.begin(),
                     by_latest_start.end(),
                     [](const overtaken& one, const overtaken& other) {
                         return one.item->give_up_at < other.item->give_up_at;
                     });
    const double spare =
        this->spare_slots(level_of(level.front().priority), now);
    double earlier_starts = 0;
    for (const overtaken& one : by_latest_start) {
        const double wait =
            overtaken_wait({more_urgent, one.newer, earlier_starts}, spare);
        if (one.item->may_be_refused_early(now) &&
            now + placement::duration_of(wait) > one.item->give_up_at)
            out.push_back(one.item->request);
        else
            earlier_starts += this->hold_seconds(one.item->kind);
    }
    return all;
}

void wait_queue::take(const waiting_request& item, base::instant now)
{
    this->remove(item.request);
    this->served(item.priority, now);
    const std::size_t level = level_of(item.priority);
    level_state& own = this->levels.at(level);
    const double kept =
        this->spare_slots(level, now) / std::max(1.0, this->slots);
    own.latest_start_credit =
        std::min(credit_max, own.latest_start_credit + kept);
    if (item.is_near_latest_start(now))
        own.latest_start_credit = std::max(0.0, own.latest_start_credit - 1);
}

void wait_queue::arrived(base::kind_id kind,
                         std::uint32_t priority,
                         base::instant now)
{
    const std::size_t level = level_of(priority);
    this->levels.at(level).arrived.add(now);
    this->load.add(level, this->hold_seconds(kind), now);
}

void wait_queue::served(std::uint32_t priority, base::instant now)
{
    level_state& own = this->levels.at(level_of(priority));
    own.served.add(now);
    own.served_lately.add(now);
}

void wait_queue::record_hold(base::kind_id kind, base::duration hold_time)
{
    this->hold_times[kind].record_ended(hold_time);
    const double seconds = placement::seconds_of(hold_time);
    this->mean_hold += hold_weight * (seconds - this->mean_hold);
    const auto [found, added] = this->holds.try_emplace(kind, seconds);
    if (!added)
        found->second += hold_weight * (seconds - found->second);
}

double wait_queue::hold_seconds(base::kind_id kind) const
{
    const auto found = this->holds.find(kind);
    return found == this->holds.end() ? unknown_hold : found->second;
}

void wait_queue::record_cut(base::kind_id kind, base::duration hold_time)
{
    this->hold_times[kind].record_cut(hold_time);
}

std::optional<base::duration> wait_queue::hold_quantile(base::kind_id kind,
                                                        double share) const
{
    const auto found = this->hold_times.find(kind);
    if (found == this->hold_times.end())
        return std::nullopt;
    return found->second.quantile(share);
}

queue_lengths wait_queue::lengths() const
{
    queue_lengths out{};
    for (const waiting_request& one : this->items)
        out.at(level_of(one.priority)) += 1;
    return out;
}

} // namespace greengagedrum::traffic
