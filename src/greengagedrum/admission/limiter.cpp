#include <greengagedrum/admission/limiter.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::admission
{

namespace
{

// A kind that was idle may spend what it saved in this many seconds at once.
constexpr double burst_seconds = 2.0;
} // namespace

void limiter::set_limits(const std::map<limit_key, limit>& limits)
{
    std::map<limit_key, bucket> kept;
    for (const auto& [key, bound] : limits) {
        const auto known = this->buckets.find(key);
        bucket own;
        own.level = bound.tokens_per_second * burst_seconds;
        if (known != this->buckets.end())
            own = known->second;
        own.bound = bound;
        kept.emplace(key, own);
    }
    this->buckets = std::move(kept);
}

double limiter::level_at(const bucket& own, base::instant now)
{
    const double rate = own.bound.tokens_per_second;
    const double passed = static_cast<double>((now - own.filled).count()) /
                          base::microseconds_per_second;
    return std::min(rate * burst_seconds, own.level + rate * passed);
}

// A request larger than the whole bucket must get through too, so one goes
// whenever something is left and the kind then owes the rest.
bool limiter::take(base::request_id request,
                   const base::request_spec& item,
                   base::instant now)
{
    if (this->taken.contains(request))
        return true;
    const limit_key key = limit_key_of(item);
    const auto found = this->buckets.find(key);
    if (found != this->buckets.end()) {
        bucket& own = found->second;
        if (own.bound.max_in_flight > 0 &&
            this->in_flight(key) >= own.bound.max_in_flight)
            return false;
        if (own.bound.tokens_per_second > 0) {
            const double level = level_at(own, now);
            if (level <= 0)
                return false;
            own.level = level - static_cast<double>(base::tokens_of(item));
            own.filled = now;
        }
    }
    this->taken.emplace(request, key);
    this->in_use[key] += 1;
    if (found != this->buckets.end())
        this->tokens[key] += base::tokens_of(item);
    return true;
}

void limiter::release(base::request_id request)
{
    const auto found = this->taken.find(request);
    if (found == this->taken.end())
        return;
    const auto counted = this->in_use.find(found->second);
    counted->second -= 1;
    if (counted->second == 0)
        this->in_use.erase(counted);
    this->taken.erase(found);
}

std::optional<base::duration> limiter::refill(const limit_key& key,
                                              base::instant now) const
{
    const auto found = this->buckets.find(key);
    if (found == this->buckets.end())
        return std::nullopt;
    const bucket& own = found->second;
    const double level = level_at(own, now);
    if (own.bound.tokens_per_second <= 0 || level > 0)
        return std::nullopt;
    const double seconds = -level / own.bound.tokens_per_second;
    // One tick more than enough, so that the level is above zero by then.
    return base::duration(1 + static_cast<base::duration::rep>(std::ceil(
                                  seconds * base::microseconds_per_second)));
}

std::uint64_t limiter::spent(const limit_key& key) const
{
    const auto found = this->tokens.find(key);
    return found == this->tokens.end() ? 0 : found->second;
}

std::uint32_t limiter::in_flight(const limit_key& key) const
{
    const auto found = this->in_use.find(key);
    return found == this->in_use.end() ? 0 : found->second;
}

const limit* limiter::find(const limit_key& key) const
{
    const auto found = this->buckets.find(key);
    return found == this->buckets.end() ? nullptr : &found->second.bound;
}

} // namespace greengagedrum::admission
