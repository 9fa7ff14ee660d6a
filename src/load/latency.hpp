// A distribution of durations that merges over threads and runs.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstdint>

namespace load
{

// Durations from 1 us to 10,000 s in steps of 1.9%: a quantile is the upper
// edge of its step, so at most that much too high.
class latency
{
public:
    latency();

    void add(std::chrono::microseconds value);
    void merge(const latency& other);

    std::uint64_t count() const { return this->total; }

    // Milliseconds; 0 when nothing was added. `part` lies in 0 to 1.
    double quantile(double part) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(axis())) steps;
    std::uint64_t total = 0;
};

} // namespace load
