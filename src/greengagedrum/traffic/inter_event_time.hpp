// How long one upstream takes from event to event of a stream, as this entry
// sees it and as its peers tell.
//
// An entry among many sends to one upstream seldom: what it saw itself is
// soon old. Some entry nearly always has a stream there, and tells what it
// sees along with its use of places.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::traffic
{

class inter_event_time
{
public:
    // One event of a stream of this entry came so long after the one before.
    void seen(base::duration gap, base::instant now);

    // What one peer says counts until it is withdrawn. Zero says nothing.
    void told(base::duration gap, base::instant now);
    void withdrawn(base::duration gap);

    // Zero: unknown, or known from too long ago.
    base::duration gap(base::instant now) const;
    // The own part of it, for peers; zero when it is no news.
    base::duration own_gap(base::instant now) const;

private:
    base::duration mean(base::instant now) const;

    double own = 0; // microseconds
    base::instant own_at;
    base::duration told_sum{0};
    std::int64_t told_count = 0;
    base::duration last{0}; // the newest mean
    base::instant last_at;
};

} // namespace greengagedrum::traffic
