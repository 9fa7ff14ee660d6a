#include <greengagedrum/delivery/backoff.hpp>

#include <algorithm>

namespace greengagedrum::delivery
{

base::duration
backoff(const backoff_range& range, std::uint32_t attempt, double random)
{
    constexpr std::uint32_t doublings_max = 20;
    const std::uint32_t doublings =
        std::min(attempt == 0 ? 0 : attempt - 1, doublings_max);
    const base::duration step =
        std::min(range.maximum, range.initial * (std::int64_t{1} << doublings));
    const double share = 0.5 + random / 2.0;
    const double ticks = static_cast<double>(step.count()) * share;
    return base::duration(static_cast<base::duration::rep>(ticks));
}

} // namespace greengagedrum::delivery
