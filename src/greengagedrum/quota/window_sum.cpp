#include <greengagedrum/quota/window_sum.hpp>

#include <algorithm>

namespace greengagedrum::quota
{

namespace
{

// Amounts that were added within this time share a part, so that a window of 8
// s has at most 160 parts.
constexpr base::duration merge_interval = std::chrono::milliseconds(50);

} // namespace

// A part expires with its last amount: an amount counts up to 50 ms too long,
// never too short.
void window_sum::add(double amount, base::instant now)
{
    this->total += amount;
    const bool together =
        !this->parts.empty() && now - this->parts.back().first < merge_interval;
    if (!together)
        this->parts.push_back({now, now, 0});
    this->parts.back().amount += amount;
    this->parts.back().last = now;
}

void window_sum::add_at(double amount, base::instant at)
{
    this->total += amount;
    const auto next =
        std::find_if(this->parts.begin(),
                     this->parts.end(),
                     [&](const window_part& part) { return part.first > at; });
    this->parts.insert(next, {at, at, amount});
}

std::vector<double> window_sum::by_part(std::size_t count,
                                        base::duration window,
                                        base::instant now) const
{
    std::vector<double> out(count);
    const base::duration length = window / static_cast<int>(count);
    for (const window_part& part : this->parts) {
        const auto at = static_cast<std::size_t>((now - part.last) / length);
        out.at(std::min(at, count - 1)) += part.amount;
    }
    return out;
}

void window_sum::drop_expired(base::duration window, base::instant now)
{
    while (!this->parts.empty() && now - this->parts.front().last > window) {
        this->total -= this->parts.front().amount;
        this->parts.pop_front();
    }
    // Avoids accumulated rounding errors.
    if (this->parts.empty())
        this->total = 0;
}

double window_sum::sum_before(base::instant at) const
{
    double sum = 0;
    for (const window_part& part : this->parts) {
        if (part.last >= at)
            break;
        sum += part.amount;
    }
    return sum;
}

base::duration window_sum::time_until_left(double amount,
                                           base::duration window,
                                           base::instant now) const
{
    for (const window_part& part : this->parts) {
        amount -= part.amount;
        if (amount <= 0)
            return part.last + window - now;
    }
    return window;
}

} // namespace greengagedrum::quota
