#include <greengagedrum/traffic/slow_start.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::traffic
{

namespace
{

constexpr base::duration window = std::chrono::seconds(1);

// Above the rate of any upstream, so that products do not overflow.
constexpr double sends_most = 1e6;

} // namespace

std::uint32_t slow_start_rate(double per_second,
                              const slow_start_tolerance& tolerance)
{
    const double bound =
        std::floor(per_second * tolerance.overshoot + tolerance.slack);
    if (bound < 1)
        return 0;
    const double half = std::max(1.0, std::floor(bound / 2));
    const double rate = std::max(1.0, std::floor(per_second));
    return static_cast<std::uint32_t>(std::min({rate, half, sends_most}));
}

std::uint32_t slow_start_share::share_of(std::uint32_t sends) const
{
    if (this->entries == 0)
        return 0;
    const std::uint32_t rest = this->rank < sends % this->entries ? 1 : 0;
    return sends / this->entries + rest;
}

void recent_sends::add(base::instant now)
{
    while (!this->at.empty() && now - this->at.front() >= window)
        this->at.pop_front();
    this->at.push_back(now);
}

std::uint32_t recent_sends::count(base::instant now) const
{
    return static_cast<std::uint32_t>(std::count_if(
        this->at.begin(), this->at.end(), [&](base::instant sent) {
            return now - sent < window;
        }));
}

} // namespace greengagedrum::traffic
