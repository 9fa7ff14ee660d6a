#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/hold_time_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::traffic
{

namespace
{

// Upper end of the first bucket, and the ratio of each bucket to the one before
// it. A quantile is too long by at most that ratio.
constexpr double first_end = 0.001; // seconds
constexpr double bucket_ratio = 1.2;

// Share of their weight that samples keep with each new one: the last few
// hundred requests of a kind count, enough for one in a hundred to show.
constexpr double kept = 0.998;

// With fewer samples a single long request would decide.
constexpr std::size_t samples_least = 20;

// Less than this weight is what remains of samples long past.
constexpr double remnant = 0.01;

} // namespace

std::size_t hold_time_distribution::bucket_of(base::duration time)
{
    const double seconds = std::max(first_end, placement::seconds_of(time));
    const double index =
        std::ceil(std::log(seconds / first_end) / std::log(bucket_ratio));
    return std::min(bucket_count - 1, static_cast<std::size_t>(index));
}

base::duration hold_time_distribution::upper_end(std::size_t index)
{
    return placement::duration_of(
        first_end * std::pow(bucket_ratio, static_cast<double>(index)));
}

hold_time_distribution::bucket&
hold_time_distribution::add_sample(base::duration time)
{
    for (bucket& one : this->buckets) {
        one.ended *= kept;
        one.cut *= kept;
    }
    this->samples += 1;
    return this->buckets.at(bucket_of(time));
}

void hold_time_distribution::record_ended(base::duration time)
{
    this->add_sample(time).ended += 1;
}

void hold_time_distribution::record_cut(base::duration time)
{
    this->add_sample(time).cut += 1;
}

std::optional<base::duration>
hold_time_distribution::quantile(double share) const
{
    if (this->samples < samples_least)
        return std::nullopt;
    double running = 0; // that lasted at least as long as the bucket
    for (const bucket& one : this->buckets)
        running += one.ended + one.cut;
    double lasting = 1; // share of the requests that last longer
    std::size_t longest = 0;
    for (std::size_t index = 0; index < bucket_count; ++index) {
        const bucket& one = this->buckets.at(index);
        if (one.ended + one.cut <= 0)
            continue;
        longest = index;
        lasting *= 1 - one.ended / running;
        running -= one.ended + one.cut;
        if (lasting <= 1 - share || running < remnant)
            break;
    }
    return upper_end(longest);
}

} // namespace greengagedrum::traffic
