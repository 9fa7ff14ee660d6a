// Slow start: how many requests a cold upstream gets in any second, and how
// many of these this entry may send.
//
// An upstream that has just started, or whose data centre was evacuated,
// crashes when it gets many requests at once. The bound holds for the sum over
// all entries, which may not know of each other. Only the entries of the
// upstream's own data centre that dispatch requests therefore send to it, each
// with a fixed share of half of the bound. When two groups of entries that
// can't reach each other each believe to be the only one, their shares add up
// to the bound.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <deque>

namespace greengagedrum::traffic
{

// How far the operator allows the published rate to be exceeded.
struct slow_start_tolerance {
    double overshoot = 1; // factor on the rate
    double slack = 0;     // additional requests a second
};

// The number of requests in any second for all entries that know of each other;
// 0: no bound.
std::uint32_t slow_start_rate(double per_second,
                              const slow_start_tolerance& tolerance);

// This entry's rank among the entries that may send to the cold upstreams of
// its data centre.
struct slow_start_share {
    std::uint32_t rank = 0;
    std::uint32_t entries = 0; // 0: this entry may not send to them

    std::uint32_t share_of(std::uint32_t sends) const;

    bool operator==(const slow_start_share&) const = default;
};

// The sends to one upstream within the last second.
class recent_sends
{
public:
    void add(base::instant now);
    std::uint32_t count(base::instant now) const;

private:
    std::deque<base::instant> at;
};

} // namespace greengagedrum::traffic
