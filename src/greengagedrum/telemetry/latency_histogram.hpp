// How long things took: counts over a logarithmic axis from 10 us to 1,000 s.
//
// Twenty bins a decade, so that a percentile is off by at most one bin, 12.2%.
// The count, sum, least and greatest value are exact. It takes about 1.3 KiB
// and is not safe for several threads.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace greengagedrum::telemetry
{

class latency_histogram
{
public:
    static constexpr unsigned bins_per_decade = 20;
    static constexpr unsigned decades = 8;
    static constexpr unsigned bin_count = bins_per_decade * decades;
    static constexpr base::duration lowest{10};
    static constexpr base::duration highest = std::chrono::seconds(1000);

    latency_histogram();

    // A negative value counts as zero: it comes from a clock of the platform
    // or an engine, and a histogram must not lose the request.
    void add(base::duration value);

    void merge(const latency_histogram& other);

    std::uint64_t count() const { return this->total_count; }
    double sum_seconds() const;

    // Empty without values.
    std::optional<base::duration> least() const;
    std::optional<base::duration> greatest() const;

    // The value below which a share of all lies, 0 < share <= 1: 0.99 for p99.
    // Empty without values. Between the edges of a bin it is interpolated.
    std::optional<base::duration> percentile(double share) const;

    // How many lie below each edge from `lowest` to `highest`, every `step`
    // bins; `step` divides `bin_count`.
    struct cumulative_bucket {
        double upper_seconds = 0;
        std::uint64_t count = 0;
    };
    std::vector<cumulative_bucket> cumulative(unsigned step) const;

private:
    using log_axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage =
        boost::histogram::storage_adaptor<std::vector<std::uint64_t>>;
    using bins = boost::histogram::histogram<std::tuple<log_axis>, storage>;

    base::duration within_bin(int bin, double share) const;

    bins counts; // in microseconds
    std::uint64_t total_count = 0;
    base::duration sum{0};
    base::duration minimum = base::duration::max();
    base::duration maximum{0};
};

} // namespace greengagedrum::telemetry
