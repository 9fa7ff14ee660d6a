// Cache events as an engine publishes them: late, and some never.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <standin/prefix_cache.hpp>

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace standin
{

struct cache_event {
    std::uint64_t sequence = 0; // from 1; a lost event leaves a gap
    prefix_change change;
    greengagedrum::base::instant happened;
};

class cache_event_log
{
public:
    cache_event_log(greengagedrum::base::duration delay,
                    double loss_share,
                    std::uint64_t seed)
        : lag(delay), loss(loss_share), random(seed)
    {
    }

    void add(const prefix_change& change, greengagedrum::base::instant now);

    // Events after `since` that are old enough to be seen, at most the last
    // 4,096 of them.
    std::vector<cache_event> read(std::uint64_t since,
                                  greengagedrum::base::instant now) const;

private:
    greengagedrum::base::duration lag;
    double loss;
    std::mt19937_64 random;
    std::uint64_t last_sequence = 0;
    std::deque<cache_event> events;
};

} // namespace standin
