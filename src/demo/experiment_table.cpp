#include <demo/experiment_table.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace demo
{

namespace
{

using greengagedrum::base::all_tiers;
using greengagedrum::base::index_of;
using nlohmann::json;

double load_average_now()
{
    double now = 0;
    return ::getloadavg(&now, 1) == 1 ? now : 0;
}

template <class... Values>
std::string line(const char* format, Values... values)
{
    std::array<char, 256> text{};
    std::snprintf(text.data(), text.size(), format, values...);
    return std::string(text.data()) + "\n";
}

json to_json(const load::spread& value)
{
    return {{"count", value.count},
            {"mean", value.mean},
            {"lowest", value.lowest},
            {"highest", value.highest}};
}

} // namespace

experiment_table::experiment_table(placement_choice given) : baseline(given) {}

void experiment_table::add_bound(const paper_result& found)
{
    this->bounds.push_back(found);
}

void experiment_table::add(placement_choice policy, run_result found)
{
    runs& all = this->by_policy[policy];
    all.reports.push_back(std::move(found.report));
    all.processor.push_back(found.processor);
    all.load_average.push_back(load_average_now());
}

load::comparison experiment_table::compared() const
{
    load::comparison out;
    const auto add = [&out](placement_choice policy, const runs& found) {
        for (const load::report& one : found.reports)
            out.add(name_of(policy), one);
    };
    if (const auto first = this->by_policy.find(this->baseline);
        first != this->by_policy.end())
        add(first->first, first->second);
    for (const auto& [policy, found] : this->by_policy)
        if (policy != this->baseline)
            add(policy, found);
    return out;
}

std::vector<double> experiment_table::to_bound(const runs& found,
                                               level tier) const
{
    std::vector<double> out;
    for (std::size_t at = 0; at < found.reports.size(); ++at) {
        const auto best = this->bounds.at(at).good[index_of(tier)];
        if (best > 0)
            out.push_back(static_cast<double>(
                              found.reports[at].tiers[index_of(tier)].good) /
                          static_cast<double>(best));
    }
    return out;
}

std::uint64_t experiment_table::broken() const
{
    return this->compared().broken();
}

std::string experiment_table::bound_text() const
{
    std::string text;
    for (const level tier : all_tiers) {
        std::vector<double> parts;
        for (const paper_result& one : this->bounds)
            if (one.offered[index_of(tier)] > 0)
                parts.push_back(
                    static_cast<double>(one.good[index_of(tier)]) /
                    static_cast<double>(one.offered[index_of(tier)]));
        if (parts.empty())
            continue;
        const std::string name(to_string(tier));
        const load::spread paper = load::spread_of(parts);
        text += line("good on paper, of offered, %-12s %.3f [%.3f..%.3f]",
                     name.c_str(),
                     paper.mean,
                     paper.lowest,
                     paper.highest);
        for (const auto& [policy, found] : this->by_policy) {
            const load::spread part =
                load::spread_of(this->to_bound(found, tier));
            text += line("  good over paper  %-18s %.3f [%.3f..%.3f] n=%zu",
                         std::string(name_of(policy)).c_str(),
                         part.mean,
                         part.lowest,
                         part.highest,
                         part.count);
        }
    }
    return text;
}

std::string experiment_table::machine_text() const
{
    std::string text;
    std::vector<double> loads;
    for (const paper_result& one : this->bounds)
        loads.push_back(one.load);
    const load::spread load = load::spread_of(loads);
    text += line("load before the burst, of the fleet on paper: %.2f "
                 "[%.2f..%.2f]",
                 load.mean,
                 load.lowest,
                 load.highest);
    for (const auto& [policy, found] : this->by_policy) {
        const load::spread cores = load::spread_of(found.processor);
        const load::spread average = load::spread_of(found.load_average);
        text += line("%-18s cores used %.2f [%.2f..%.2f], load average "
                     "%.1f [%.1f..%.1f]",
                     std::string(name_of(policy)).c_str(),
                     cores.mean,
                     cores.lowest,
                     cores.highest,
                     average.mean,
                     average.lowest,
                     average.highest);
    }
    return text;
}

std::string experiment_table::to_text() const
{
    std::string text = this->machine_text() + "\n";
    const load::comparison all = this->compared();
    for (const auto& [policy, found] : this->by_policy) {
        const std::string name(name_of(policy));
        text += "== " + name + ", all repetitions\n" +
                load::to_text(all.merged(name)) + "\n";
    }
    return text + load::to_text(all) + "\n" + this->bound_text();
}

json experiment_table::to_json() const
{
    const load::comparison all = this->compared();
    json out{{"comparison", load::to_json(all)}};
    for (const paper_result& one : this->bounds)
        out["paper"].push_back(
            {{"offered", one.offered}, {"good", one.good}, {"load", one.load}});
    for (const auto& [policy, found] : this->by_policy) {
        const std::string name(name_of(policy));
        json& into = out["policies"][name];
        into["report"] = load::to_json(all.merged(name));
        into["cores"] = demo::to_json(load::spread_of(found.processor));
        into["load_average"] =
            demo::to_json(load::spread_of(found.load_average));
        for (const level tier : all_tiers)
            into["good_over_paper"][std::string(to_string(tier))] =
                demo::to_json(load::spread_of(this->to_bound(found, tier)));
    }
    return out;
}

} // namespace demo
