// A straight line through measured points, with its spread.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace bench
{

struct line_fit {
    double slope = 0;
    double start = 0;    // at 0
    double r_square = 0; // 1: the points lie on the line
};

// Least squares over points of equal weight.
inline line_fit fit_line(const std::vector<double>& x,
                         const std::vector<double>& y)
{
    const auto count = static_cast<double>(x.size());
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t at = 0; at < x.size(); ++at) {
        mean_x += x[at] / count;
        mean_y += y[at] / count;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (std::size_t at = 0; at < x.size(); ++at) {
        xx += (x[at] - mean_x) * (x[at] - mean_x);
        xy += (x[at] - mean_x) * (y[at] - mean_y);
        yy += (y[at] - mean_y) * (y[at] - mean_y);
    }
    line_fit out;
    out.slope = xx > 0 ? xy / xx : 0;
    out.start = mean_y - out.slope * mean_x;
    out.r_square = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
    return out;
}

// One figure over sizes, each repeated; prints every point (median, least and
// most), the fit through the medians and the spread of the slopes of the
// single repeats.
class series
{
public:
    series(std::string given, std::string over, std::string in)
        : name(std::move(given)), size_name(std::move(over)),
          unit(std::move(in))
    {
    }

    void add(double size, std::vector<double> repeats)
    {
        this->sizes.push_back(size);
        this->values.push_back(std::move(repeats));
    }

    void print() const
    {
        std::printf("\n%s [%s] over %s\n",
                    this->name.c_str(),
                    this->unit.c_str(),
                    this->size_name.c_str());
        std::vector<double> medians;
        for (std::size_t at = 0; at < this->sizes.size(); ++at) {
            std::vector<double> sorted = this->values[at];
            std::sort(sorted.begin(), sorted.end());
            medians.push_back(sorted[sorted.size() / 2]);
            std::printf("  %10.0f  %12.4f  [%.4f..%.4f] n=%zu\n",
                        this->sizes[at],
                        medians.back(),
                        sorted.front(),
                        sorted.back(),
                        sorted.size());
        }
        this->print_fit(medians);
        std::fflush(stdout);
    }

private:
    void print_fit(const std::vector<double>& medians) const
    {
        std::vector<double> slopes;
        std::size_t repeats = this->values.front().size();
        for (const auto& one : this->values)
            repeats = std::min(repeats, one.size());
        for (std::size_t turn = 0; turn < repeats; ++turn) {
            std::vector<double> points;
            for (const auto& one : this->values)
                points.push_back(one[turn]);
            slopes.push_back(fit_line(this->sizes, points).slope);
        }
        const line_fit all = fit_line(this->sizes, medians);
        const auto [least, most] =
            std::minmax_element(slopes.begin(), slopes.end());
        std::printf("  slope %.6g [%.6g..%.6g] %s each, at zero %.4g, "
                    "R2 %.3f\n",
                    all.slope,
                    *least,
                    *most,
                    this->unit.c_str(),
                    all.start,
                    all.r_square);
    }

    std::string name;
    std::string size_name;
    std::string unit;
    std::vector<double> sizes;
    std::vector<std::vector<double>> values;
};

} // namespace bench
