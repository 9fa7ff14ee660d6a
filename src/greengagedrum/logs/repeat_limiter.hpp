// Holds back an event that would fill the log, such as a peer that can't be
// reached: one line per interval, with the count of those held back.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace greengagedrum::logs
{

class repeat_limiter
{
public:
    using clock = std::chrono::steady_clock;

    explicit repeat_limiter(clock::duration least_gap) : interval(least_gap) {}

    // How many were held back since the last line, when one may be written
    // now; empty when this one is held back. May be called by many threads.
    std::optional<std::uint64_t> admit(clock::time_point now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->last && now - *this->last < this->interval) {
            ++this->held_back;
            return std::nullopt;
        }
        this->last = now;
        return std::exchange(this->held_back, 0);
    }

private:
    std::mutex mutex;
    clock::duration interval;
    std::optional<clock::time_point> last;
    std::uint64_t held_back = 0;
};

} // namespace greengagedrum::logs
