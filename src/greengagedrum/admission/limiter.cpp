#include <greengagedrum/admission/limiter.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::admission
{

namespace
{

// Capacity of the token bucket, in seconds of its rate: the burst that a kind
// may use after it was idle.
constexpr double burst_seconds = 2.0;
} // namespace

void limiter::set_limits(const std::map<limit_key, limit>& limits)
{
    std::map<limit_key, bucket> updated;
    for (const auto& [key, configured] : limits) {
        const auto known = this->buckets.find(key);
        bucket state;
        state.level = configured.tokens_per_second * burst_seconds;
        if (known != this->buckets.end())
            state = known->second;
        state.configured = configured;
        updated.emplace(key, state);
    }
    this->buckets = std::move(updated);
}

double limiter::level_at(const bucket& state, base::instant now)
{
    const double rate = state.configured.tokens_per_second;
    const double elapsed_seconds =
        static_cast<double>((now - state.refilled_at).count()) /
        base::microseconds_per_second;
    return std::min(rate * burst_seconds, state.level + rate * elapsed_seconds);
}

// A request larger than the bucket must be admitted too. So any request is
// admitted while the level is positive, and the level may become negative.
bool limiter::try_acquire(base::request_id request,
                          const base::request_spec& item,
                          base::instant now)
{
    if (this->acquired.contains(request))
        return true;
    const limit_key key = limit_key_of(item);
    const auto found = this->buckets.find(key);
    if (found != this->buckets.end()) {
        bucket& state = found->second;
        if (state.configured.max_in_flight > 0 &&
            this->in_flight(key) >= state.configured.max_in_flight)
            return false;
        if (state.configured.tokens_per_second > 0) {
            const double level = level_at(state, now);
            if (level <= 0)
                return false;
            state.level = level - static_cast<double>(base::tokens_of(item));
            state.refilled_at = now;
        }
    }
    this->acquired.emplace(request, key);
    this->in_flight_by_key[key] += 1;
    if (found != this->buckets.end())
        this->admitted_tokens_by_key[key] += base::tokens_of(item);
    return true;
}

void limiter::release(base::request_id request)
{
    const auto found = this->acquired.find(request);
    if (found == this->acquired.end())
        return;
    const auto count = this->in_flight_by_key.find(found->second);
    count->second -= 1;
    if (count->second == 0)
        this->in_flight_by_key.erase(count);
    this->acquired.erase(found);
}

std::optional<base::duration> limiter::refill(const limit_key& key,
                                              base::instant now) const
{
    const auto found = this->buckets.find(key);
    if (found == this->buckets.end())
        return std::nullopt;
    const bucket& state = found->second;
    const double level = level_at(state, now);
    if (state.configured.tokens_per_second <= 0 || level > 0)
        return std::nullopt;
    const double seconds = -level / state.configured.tokens_per_second;
    // One tick more, so that the level is positive by then.
    return base::duration(1 + static_cast<base::duration::rep>(std::ceil(
                                  seconds * base::microseconds_per_second)));
}

std::uint64_t limiter::admitted_tokens(const limit_key& key) const
{
    const auto found = this->admitted_tokens_by_key.find(key);
    return found == this->admitted_tokens_by_key.end() ? 0 : found->second;
}

std::uint32_t limiter::in_flight(const limit_key& key) const
{
    const auto found = this->in_flight_by_key.find(key);
    return found == this->in_flight_by_key.end() ? 0 : found->second;
}

const limit* limiter::find(const limit_key& key) const
{
    const auto found = this->buckets.find(key);
    return found == this->buckets.end() ? nullptr : &found->second.configured;
}

} // namespace greengagedrum::admission
