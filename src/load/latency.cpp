#include <load/latency.hpp>

#include <algorithm>
#include <cmath>

namespace load
{

namespace
{

constexpr unsigned step_count = 1200;
constexpr double shortest = 1;   // microseconds
constexpr double longest = 1e10; // microseconds

} // namespace

latency::latency()
    : steps(
          boost::histogram::make_histogram(axis(step_count, shortest, longest)))
{
}

void latency::add(std::chrono::microseconds value)
{
    const auto length = static_cast<double>(value.count());
    this->steps(std::clamp(length, shortest, longest / 2));
    ++this->total;
}

void latency::merge(const latency& other)
{
    this->steps += other.steps;
    this->total += other.total;
}

double latency::quantile(double part) const
{
    if (this->total == 0)
        return 0;
    const double wanted =
        std::max(1.0, std::ceil(part * static_cast<double>(this->total)));
    double seen = 0;
    for (int step = 0; step < static_cast<int>(step_count); ++step) {
        seen += static_cast<double>(this->steps.at(step));
        if (seen >= wanted)
            return this->steps.axis().value(step + 1) / 1000;
    }
    return longest / 1000;
}

} // namespace load
