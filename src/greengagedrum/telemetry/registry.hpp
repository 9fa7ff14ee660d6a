// Everything that was measured: a plain value, for one thread at a time.
//
// A copy of it is a snapshot that /metrics and /status are written from. Who
// feeds it from several threads takes a `collector`.
#pragma once

#include <greengagedrum/telemetry/latency_histogram.hpp>
#include <greengagedrum/telemetry/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace greengagedrum::telemetry
{

// The workspace and kind of requests that found no series of their own.
inline constexpr std::string_view folded_name = "other";

// Requests of one workspace, tier and kind; about 5.5 KiB.
struct series_metrics {
    latency_histogram queue_wait;
    latency_histogram first_token;
    latency_histogram token_gap;
    latency_histogram total;
    std::uint64_t answered = 0;
    std::map<base::reason, std::uint64_t> not_run;
    std::map<base::reason, std::uint64_t> may_have_run;
};

struct tier_metrics {
    std::uint64_t good_answers = 0;
    std::uint64_t good_tokens = 0;
    std::array<std::uint64_t, tier_counter_count> counters{};
};

class registry
{
public:
    // At most `series_max` series, and one more per tier for the rest. It
    // guards against a fleet with many workspaces: without a bound, memory
    // and the text of /metrics would grow for as long as names appear.
    explicit registry(std::size_t series_max);

    void add(const measurement& told);

    void set_dropped(std::uint64_t measurements);

    const std::map<series_key, series_metrics>& series() const
    {
        return this->by_series;
    }
    const tier_metrics& of(base::tier tier) const
    {
        return this->by_tier.at(base::index_of(tier));
    }
    std::uint64_t of(counter what) const
    {
        return this->counters.at(static_cast<std::size_t>(what));
    }
    double of(gauge what) const
    {
        return this->gauges.at(static_cast<std::size_t>(what));
    }

    std::uint64_t folded() const { return this->folded_requests; }
    std::uint64_t dropped() const { return this->dropped_measurements; }

private:
    void take(const request_ended& ended);
    void take(const tier_count& counted);
    void take(const process_count& counted);
    void take(const gauge_set& set);

    series_metrics& find_series(const series_key& key);

    std::size_t series_limit;
    std::map<series_key, series_metrics> by_series;
    std::array<tier_metrics, base::tier_count> by_tier{};
    std::array<std::uint64_t, counter_count> counters{};
    std::array<double, gauge_count> gauges{};
    std::uint64_t folded_requests = 0;
    std::uint64_t dropped_measurements = 0;
};

} // namespace greengagedrum::telemetry
