// The findings of an experiment, to be printed: policies against one another,
// and each against the bound on paper.
#pragma once

#include <load/comparison.hpp>

#include <demo/experiment.hpp>
#include <demo/paper_bound.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace demo
{

class experiment_table
{
public:
    // The policy that the others are compared with.
    explicit experiment_table(placement_choice baseline);

    // Repetition by repetition: the bound first, then a run of each policy.
    void add_bound(const paper_result& found);
    void add(placement_choice policy, run_result found);

    std::uint64_t broken() const;
    std::string to_text() const;
    nlohmann::json to_json() const;

private:
    using level = greengagedrum::base::tier;

    struct runs {
        std::vector<load::report> reports;
        std::vector<double> processor;
        std::vector<double> load_average; // of the machine, at the run's end
    };

    load::comparison compared() const;

    // Good answers of a tier over those of the bound, for each repetition.
    std::vector<double> to_bound(const runs& found, level tier) const;
    std::string bound_text() const;
    std::string machine_text() const;

    placement_choice baseline;
    std::vector<paper_result> bounds;
    std::map<placement_choice, runs> by_policy;
};

} // namespace demo
