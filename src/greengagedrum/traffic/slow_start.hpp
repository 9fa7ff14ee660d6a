// How many requests a cold upstream gets in any second, and how many of them
// are this entry's to send.
//
// An upstream that has just started, or whose data centre was evacuated, ends
// when it gets many requests at once. The bound holds for the sum over all
// entries, which may not know of each other. So the upstream is left to the
// entries of its own data centre that place requests, each with a fixed part
// of half of the bound: when entries that can't hear each other both think
// that they are alone, their parts add up to the bound.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <deque>

namespace greengagedrum::traffic
{

// What the operator tolerates beyond the published rate.
struct slow_start_tolerance {
    double overshoot = 1; // times the rate
    double slack = 0;     // requests in a second
};

// Requests in any second, of all entries that know of each other; 0: none.
std::uint32_t slow_start_rate(double per_second,
                              const slow_start_tolerance& tolerance);

// Where this entry stands among those that may send to the cold upstreams of
// its data centre.
struct slow_start_share {
    std::uint32_t rank = 0;
    std::uint32_t entries = 0; // 0: this entry is none of them

    std::uint32_t share_of(std::uint32_t sends) const;

    bool operator==(const slow_start_share&) const = default;
};

// Sends to one upstream within the last second.
class recent_sends
{
public:
    void add(base::instant now);
    std::uint32_t count(base::instant now) const;

private:
    std::deque<base::instant> at;
};

} // namespace greengagedrum::traffic
