// The mean time between two events of a stream on one upstream, from this
// entry's streams and from peer reports.
//
// One entry among many sends to an upstream seldom, so its own samples are soon
// stale. Some entry nearly always has a stream there and reports its mean along
// with its load.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>

namespace greengagedrum::traffic
{

class inter_event_time
{
public:
    // Records the time between two events of a stream of this entry.
    void add_sample(base::duration gap, base::instant now);

    // Adds or withdraws the mean reported by one peer. Zero is ignored.
    void add_peer_mean(base::duration gap, base::instant now);
    void remove_peer_mean(base::duration gap);

    // The mean over this entry and its peers; zero when unknown or stale.
    base::duration gap(base::instant now) const;
    // This entry's own mean, for reports to peers; zero when stale.
    base::duration own_gap(base::instant now) const;

private:
    base::duration mean(base::instant now) const;

    double own = 0; // microseconds
    base::instant own_at;
    base::duration peer_sum{0};
    std::int64_t peer_count = 0;
    base::duration last{0}; // the most recent mean
    base::instant last_at;
};

} // namespace greengagedrum::traffic
