#include <load/comparison.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <numeric>
#include <utility>

namespace load
{

namespace
{

using greengagedrum::base::all_tiers;
using nlohmann::json;

constexpr std::array<std::pair<std::string_view, double>, 3>
    first_token_quantiles = {{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}};

struct figure {
    std::string name;
    std::function<double(const report&)> of;
};

std::vector<figure> all_figures()
{
    std::vector<figure> figures;
    for (const auto level : all_tiers) {
        const std::string name(to_string(level));
        const auto tier = [level](const report& found) -> const tier_report& {
            return found.tiers[index_of(level)];
        };
        figures.push_back(
            {"goodput " + name + " (1/s)",
             [level](const report& found) { return found.goodput(level); }});
        for (const auto& quantile : first_token_quantiles) {
            const double part = quantile.second;
            figures.push_back({"first token " + std::string(quantile.first) +
                                   " " + name + " (ms)",
                               [tier, part](const report& found) {
                                   return tier(found).first_token.quantile(
                                       part);
                               }});
        }
        figures.push_back(
            {"total p99 " + name + " (ms)", [tier](const report& found) {
                 return tier(found).total.quantile(0.99);
             }});
    }
    figures.push_back({"wasted prefill (tokens)", [](const report& found) {
                           return static_cast<double>(
                               found.ledgers.wasted_prefill);
                       }});
    figures.push_back({"send lateness p99 (ms)", [](const report& found) {
                           return found.lateness.quantile(0.99);
                       }});
    figures.push_back({"retries", [](const report& found) {
                           return static_cast<double>(found.retries());
                       }});
    return figures;
}

std::vector<double> values_of(const figure& wanted,
                              const std::vector<report>& found)
{
    std::vector<double> values;
    std::ranges::transform(found, std::back_inserter(values), wanted.of);
    return values;
}

std::vector<double> ratios(const std::vector<double>& values,
                           const std::vector<double>& baseline)
{
    std::vector<double> paired;
    const std::size_t count = std::min(values.size(), baseline.size());
    for (std::size_t index = 0; index < count; ++index)
        if (baseline[index] > 0)
            paired.push_back(values[index] / baseline[index]);
    return paired;
}

json to_json(const spread& value)
{
    return {{"count", value.count},
            {"mean", value.mean},
            {"lowest", value.lowest},
            {"highest", value.highest}};
}

} // namespace

spread spread_of(const std::vector<double>& values)
{
    if (values.empty())
        return {};
    const auto [lowest, highest] = std::ranges::minmax(values);
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {values.size(),
            sum / static_cast<double>(values.size()),
            lowest,
            highest};
}

void comparison::add(std::string_view policy, report found)
{
    auto same = std::ranges::find(this->policies, policy, &runs::policy);
    if (same == this->policies.end()) {
        this->policies.push_back({std::string(policy), {}});
        same = this->policies.end() - 1;
    }
    same->found.push_back(std::move(found));
}

report comparison::merged(std::string_view policy) const
{
    report all;
    for (const runs& one : this->policies)
        if (one.policy == policy)
            for (const report& found : one.found)
                all.merge(found);
    return all;
}

std::vector<comparison::row> comparison::rows() const
{
    std::vector<row> all;
    for (const figure& wanted : all_figures()) {
        for (const runs& one : this->policies) {
            const auto values = values_of(wanted, one.found);
            const auto base = values_of(wanted, this->policies.front().found);
            all.push_back({wanted.name,
                           one.policy,
                           spread_of(values),
                           spread_of(ratios(values, base))});
        }
    }
    return all;
}

std::uint64_t comparison::broken() const
{
    std::uint64_t sum = 0;
    for (const runs& one : this->policies)
        for (const report& found : one.found)
            sum += found.broken();
    return sum;
}

json to_json(const comparison& all)
{
    json rows = json::array();
    for (const comparison::row& one : all.rows())
        rows.push_back({{"figure", one.figure},
                        {"policy", one.policy},
                        {"value", to_json(one.value)},
                        {"ratio_to_baseline", to_json(one.to_baseline)}});
    return {{"broken_promises", all.broken()}, {"rows", rows}};
}

std::string to_text(const comparison& all)
{
    std::string text;
    std::array<char, 256> line{};
    const auto print = [&](const comparison::row& one) {
        std::snprintf(line.data(),
                      line.size(),
                      "%-32s %-16s %10.2f [%.2f..%.2f] n=%zu",
                      one.figure.c_str(),
                      one.policy.c_str(),
                      one.value.mean,
                      one.value.lowest,
                      one.value.highest,
                      one.value.count);
        text += line.data();
        if (one.to_baseline.count > 0) {
            std::snprintf(line.data(),
                          line.size(),
                          "  x%.3f [%.3f..%.3f] n=%zu",
                          one.to_baseline.mean,
                          one.to_baseline.lowest,
                          one.to_baseline.highest,
                          one.to_baseline.count);
            text += line.data();
        }
        text += "\n";
    };
    for (const comparison::row& one : all.rows())
        if (one.value.highest > 0)
            print(one);
    return text + "broken promises: " + std::to_string(all.broken()) + "\n";
}

} // namespace load
