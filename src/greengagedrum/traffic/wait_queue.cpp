#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/wait_queue.hpp>

#include <algorithm>
#include <cmath>
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

} // namespace

void decaying_count::add(base::instant now)
{
    this->sum = this->at(now) + 1;
    this->last = now;
}

double decaying_count::at(base::instant now) const
{
    const double passed = placement::seconds_of(now - this->last);
    return this->sum * std::exp(-passed / this->memory);
}

double decaying_count::per_second(base::instant now) const
{
    return this->at(now) / this->memory;
}

std::size_t level_of(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, priority_levels - 1);
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

wait_queue::order_key wait_queue::key_of(const waiting_request& item) const
{
    return {item.priority,
            item.give_up_at,
            this->hold_seconds(item.kind),
            item.request};
}

std::vector<waiting_request> wait_queue::in_order(base::instant now) const
{
    std::vector<std::pair<order_key, std::size_t>> order;
    order.reserve(this->items.size());
    for (std::size_t index = 0; index < this->items.size(); ++index)
        order.emplace_back(this->key_of(this->items[index]), index);
    std::sort(order.begin(), order.end());
    std::vector<waiting_request> out;
    out.reserve(order.size());
    for (const auto& [key, index] : order)
        out.push_back(this->items[index]);
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

double wait_queue::seconds_ahead(const waiting_request& item) const
{
    const order_key own = this->key_of(item);
    double sum = 0;
    for (const waiting_request& one : this->items) {
        const order_key key = this->key_of(one);
        if (one.request != item.request && key < own)
            sum += key.hold;
    }
    return sum;
}

void wait_queue::arrived(std::uint32_t priority, base::instant now)
{
    this->levels.at(level_of(priority)).arrived.add(now);
}

void wait_queue::served(std::uint32_t priority, base::instant now)
{
    level_state& own = this->levels.at(level_of(priority));
    own.served.add(now);
    own.served_lately.add(now);
}

double wait_queue::wait_by_service_rate(const waiting_request& item,
                                        base::instant now) const
{
    const std::size_t level = level_of(item.priority);
    const level_state& own = this->levels.at(level);
    const auto ahead = std::count_if(
        this->items.begin(), this->items.end(), [&](const auto& one) {
            return one.request != item.request &&
                   level_of(one.priority) == level;
        });
    if (ahead == 0 || now - own.queued_since < rate_known_after)
        return 0;
    const double rate = own.served_lately.per_second(now);
    return static_cast<double>(ahead) / std::max(rate, rate_least);
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
