#include <load/length_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace load
{

namespace
{

constexpr int most_draws = 32; // then the bound is taken
constexpr double sigmas_to_bound = 2.5;

double draw_lognormal(const length_distribution& lengths,
                      std::mt19937_64& random)
{
    const double low = lengths.min;
    const double high = lengths.max;
    const double median =
        lengths.median > 0 ? lengths.median : std::sqrt(low * high);
    const double sigma = lengths.sigma > 0
                             ? lengths.sigma
                             : std::log(high / low) / (2 * sigmas_to_bound);
    return std::lognormal_distribution<>(std::log(median), sigma)(random);
}

// By inversion, as <random> has no Pareto distribution.
double draw_pareto(const length_distribution& lengths, std::mt19937_64& random)
{
    const double uniform = std::uniform_real_distribution<>(0, 1)(random);
    return lengths.min / std::pow(1 - uniform, 1 / lengths.alpha);
}

} // namespace

std::uint32_t length_distribution::draw(std::mt19937_64& random) const
{
    if (this->form == shape::fixed || this->min == this->max)
        return this->max;
    double length = 0;
    for (int count = 0; count < most_draws; ++count) {
        length = this->form == shape::pareto ? draw_pareto(*this, random)
                                             : draw_lognormal(*this, random);
        if (length >= this->min && length <= this->max)
            return static_cast<std::uint32_t>(length);
    }
    return length < this->min ? this->min : this->max;
}

std::string length_distribution::problem() const
{
    constexpr std::uint32_t most = 1U << 20U;
    if (this->min < 1 || this->min > this->max || this->max > most)
        return "must have 1 <= min <= max <= 1048576";
    if (!(this->median >= 0) || !(this->sigma >= 0) || this->sigma > 10)
        return "median and sigma must not be negative, sigma at most 10";
    if (!(this->alpha > 0.01) || this->alpha > 100)
        return "alpha must lie in 0.01 to 100";
    return {};
}

} // namespace load
