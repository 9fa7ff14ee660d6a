// How long prompts and answers are: a bounded, skewed distribution.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace load
{

// A bounded distribution of whole numbers (bytes or tokens). The defaults
// spread over a factor of 100, as the users' requests do. It holds no state;
// what it draws depends on the generator alone.
struct length_distribution {
    enum class shape : std::uint8_t { fixed, lognormal, pareto };

    shape form = shape::lognormal;
    std::uint32_t min = 64;
    std::uint32_t max = 6400;
    double median = 0; // lognormal; 0: the geometric mean of min and max
    double sigma = 0;  // lognormal; 0: min and max lie at 2.5 sigma
    double alpha = 1;  // pareto: the tail's exponent

    // `fixed` gives `max`. A draw outside the bounds is drawn again, so that
    // no length heaps up at a bound.
    std::uint32_t draw(std::mt19937_64& random) const;

    // Empty, or what is wrong with it.
    std::string problem() const;
};

} // namespace load
