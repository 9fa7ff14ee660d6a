// The distribution of how long requests of one kind hold their slot.
//
// A mean says nothing of a tail, so the times are counted in buckets of equal
// ratio. Older samples decay with each new one. A request that was cut has
// lasted at least until then: it counts as running up to that time and as
// neither ended nor running afterwards (the Kaplan-Meier estimate).
#pragma once

#include <greengagedrum/base/time.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace greengagedrum::traffic
{

class hold_time_distribution
{
public:
    // A request ended after that time.
    void record_ended(base::duration time);
    // A request was cut after that time; when it would have ended is unknown.
    void record_cut(base::duration time);

    // A time within which that share of the requests ends, or the longest time
    // seen if more of them were cut before. Unknown with too few samples.
    std::optional<base::duration> quantile(double share) const;

private:
    // From 1 ms to 23 minutes.
    static constexpr std::size_t bucket_count = 78;

    struct bucket {
        double ended = 0;
        double cut = 0;
    };

    static std::size_t bucket_of(base::duration time);
    static base::duration upper_end(std::size_t index);
    bucket& add_sample(base::duration time);

    std::array<bucket, bucket_count> buckets{};
    std::size_t samples = 0;
};

} // namespace greengagedrum::traffic
