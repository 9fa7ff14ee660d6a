#include <greengagedrum/traffic/crossing_estimator.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Before the first connect to a region: a typical distance of neighbouring
// regions.
constexpr base::duration initial_round_trip = std::chrono::milliseconds(24);

// A shorter connect was not one across regions: something between accepted it.
constexpr base::duration round_trip_floor = std::chrono::milliseconds(10);

// A longer connect counts as this multiple of the estimate: it includes the
// second after which a lost packet is sent again.
constexpr std::int64_t longest_sample = 2;
// Weight of one sample above the estimate, as 1 / this; shorter samples replace
// the estimate, since a round trip takes its time plus delays that vary.
constexpr std::int64_t sample_weight_divisor = 16;

// The connect, and the request until its first event.
constexpr std::int64_t least_round_trips = 2;

// TCP sends ten segments of 1,448 bytes before the first acknowledgement, and
// doubles that with each round trip.
constexpr std::uint64_t first_window_bytes = 14'480;
constexpr std::uint64_t bytes_per_token = 4; // of typical English text

std::int64_t further_windows(std::uint64_t bytes)
{
    std::int64_t out = 0;
    std::uint64_t window = first_window_bytes;
    for (std::uint64_t sent = window; sent < bytes; sent += window) {
        window *= 2;
        out += 1;
    }
    return out;
}

} // namespace

void crossing_estimator::record_connect(const std::string& region,
                                        base::duration took)
{
    const base::duration sample = std::max(took, round_trip_floor);
    const auto [found, first] = this->round_trips.try_emplace(region, sample);
    base::duration& estimate = found->second;
    if (first)
        estimate = std::min(sample, longest_sample * initial_round_trip);
    else if (sample < estimate)
        estimate = sample;
    else
        estimate += (std::min(sample, longest_sample * estimate) - estimate) /
                    sample_weight_divisor;
}

base::duration crossing_estimator::round_trip(const std::string& region) const
{
    const auto found = this->round_trips.find(region);
    return found == this->round_trips.end() ? initial_round_trip
                                            : found->second;
}

base::duration crossing_estimator::delay(const std::string& region,
                                         std::uint32_t prompt_tokens) const
{
    return this->round_trip(region) *
           (least_round_trips +
            further_windows(bytes_per_token * prompt_tokens));
}

} // namespace greengagedrum::traffic
