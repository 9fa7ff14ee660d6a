#include <greengagedrum/telemetry/latency_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace greengagedrum::telemetry
{

namespace
{

constexpr double microseconds_per_second = 1e6;

double as_double(base::duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

latency_histogram::latency_histogram()
    : counts(std::tuple(
          log_axis(bin_count, as_double(lowest), as_double(highest))))
{
}

void latency_histogram::add(base::duration value)
{
    value = std::max(value, base::duration::zero());
    this->counts(as_double(value));
    ++this->total_count;
    this->sum += value;
    this->minimum = std::min(this->minimum, value);
    this->maximum = std::max(this->maximum, value);
}

void latency_histogram::merge(const latency_histogram& other)
{
    this->counts += other.counts;
    this->total_count += other.total_count;
    this->sum += other.sum;
    this->minimum = std::min(this->minimum, other.minimum);
    this->maximum = std::max(this->maximum, other.maximum);
}

double latency_histogram::sum_seconds() const
{
    return as_double(this->sum) / microseconds_per_second;
}

std::optional<base::duration> latency_histogram::least() const
{
    if (this->total_count == 0)
        return std::nullopt;
    return this->minimum;
}

std::optional<base::duration> latency_histogram::greatest() const
{
    if (this->total_count == 0)
        return std::nullopt;
    return this->maximum;
}

std::optional<base::duration> latency_histogram::percentile(double share) const
{
    if (this->total_count == 0)
        return std::nullopt;
    const double total = static_cast<double>(this->total_count);
    const double rank = std::clamp(std::ceil(share * total), 1.0, total);
    double before = 0;
    // Bin -1 holds what lies below the axis, `bin_count` what lies above.
    for (int bin = -1; bin <= static_cast<int>(bin_count); ++bin) {
        const double here = static_cast<double>(this->counts.at(bin));
        if (here > 0 && before + here >= rank)
            return this->within_bin(bin, (rank - before) / here);
        before += here;
    }
    return this->maximum;
}

base::duration latency_histogram::within_bin(int bin, double share) const
{
    if (bin < 0)
        return this->minimum;
    if (bin >= static_cast<int>(bin_count))
        return this->maximum;
    const auto edges = this->counts.axis().bin(bin);
    const double value =
        edges.lower() * std::pow(edges.upper() / edges.lower(), share);
    const base::duration estimate(std::llround(value));
    return std::clamp(estimate, this->minimum, this->maximum);
}

std::vector<latency_histogram::cumulative_bucket>
latency_histogram::cumulative(unsigned step) const
{
    std::vector<cumulative_bucket> result;
    std::uint64_t below = this->counts.at(-1);
    for (unsigned edge = 0; edge <= bin_count; ++edge) {
        const int bin = static_cast<int>(edge);
        if (edge % step == 0) {
            const double upper = this->counts.axis().value(bin);
            result.push_back({upper / microseconds_per_second, below});
        }
        below += this->counts.at(bin);
    }
    return result;
}

} // namespace greengagedrum::telemetry
