// Policies against one another, over repetitions of the same load.
#pragma once

#include <load/report.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace load
{

// A figure over repetitions: its mean and its spread.
struct spread {
    std::size_t count = 0; // repetitions that gave a figure
    double mean = 0;
    double lowest = 0;
    double highest = 0;
};

spread spread_of(const std::vector<double>& values);

// Reports of two or more policies, each run `n` times under the same plans.
// The first policy added is the baseline. Figures are ratios to it, formed
// within each repetition (repetition i of a policy over repetition i of the
// baseline), so that what a repetition's seed does to both cancels out. A
// repetition where the baseline's figure is 0 gives no ratio.
class comparison
{
public:
    // One figure of a report, by name, for example "goodput urgent".
    struct row {
        std::string figure;
        std::string policy;
        spread value;       // the policy's own
        spread to_baseline; // its ratio to the baseline's
    };

    void add(std::string_view policy, report found);

    // All repetitions of a policy as one report.
    report merged(std::string_view policy) const;

    std::vector<row> rows() const;

    // Broken promises over all policies and repetitions.
    std::uint64_t broken() const;

private:
    struct runs {
        std::string policy;
        std::vector<report> found;
    };

    std::vector<runs> policies;
};

nlohmann::json to_json(const comparison& all);
std::string to_text(const comparison& all);

} // namespace load
