#include <greengagedrum/ctl/losses_command.hpp>
#include <greengagedrum/ctl/options.hpp>
#include <greengagedrum/ctl/request_account.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

// Requests that ended alike.
struct fate_sum {
    std::uint64_t requests = 0;
    double slot_seconds = 0;
    double late_by = 0; // milliseconds, of all of them
};

using fate_sums = std::array<fate_sum, fate_count>;
using grouped_sums = std::map<std::string, fate_sums>;

// What `--by` names. Empty: not a key.
std::string group_of(const request_record& one, const std::string& key)
{
    constexpr std::size_t to_the_second = 19; // of "2026-06-17T18:28:09.043Z"
    if (key == "second")
        return one.arrived.substr(0, to_the_second);
    if (key == "upstream")
        return one.upstream.empty() ? "(none)" : one.upstream;
    return key == "entry" ? one.source : one.route;
}

bool is_key(const std::string& key)
{
    return key.empty() || key == "route" || key == "second" ||
           key == "upstream" || key == "entry";
}

void add(const request_record& one, fate_sums& to)
{
    fate_sum& sum = to.at(static_cast<std::size_t>(one.ended));
    sum.requests += 1;
    sum.slot_seconds += one.slot_seconds;
    sum.late_by += one.late_by;
}

void print_sums(const fate_sums& sums, std::ostream& to)
{
    constexpr int name_width = 25;
    constexpr int number_width = 10;
    constexpr double percent = 100;
    std::uint64_t all = 0;
    double slots = 0;
    for (const fate_sum& one : sums) {
        all += one.requests;
        slots += one.slot_seconds;
    }
    to << std::fixed << std::setprecision(1);
    for (std::size_t at = 0; at < sums.size(); ++at) {
        const fate_sum& one = sums.at(at);
        if (one.requests == 0)
            continue;
        to << "  " << std::left << std::setw(name_width)
           << to_string(static_cast<fate>(at)) << std::right
           << std::setw(number_width) << one.requests << std::setw(number_width)
           << percent * static_cast<double>(one.requests) /
                  static_cast<double>(all)
           << "%" << std::setw(number_width) << one.slot_seconds << " s"
           << std::setw(number_width)
           << (slots > 0 ? percent * one.slot_seconds / slots : 0.0) << "%";
        if (one.late_by > 0)
            to << "  by " << one.late_by / static_cast<double>(one.requests)
               << " ms on average";
        to << "\n";
    }
}

nlohmann::json to_json(const fate_sums& sums)
{
    nlohmann::json out = nlohmann::json::object();
    for (std::size_t at = 0; at < sums.size(); ++at) {
        const fate_sum& one = sums.at(at);
        if (one.requests > 0)
            out[std::string(to_string(static_cast<fate>(at)))] = {
                {"requests", one.requests},
                {"slot_seconds", one.slot_seconds},
                {"late_by_ms", one.late_by}};
    }
    return out;
}

void print(const fate_sums& all,
           const grouped_sums& groups,
           bool as_json,
           std::ostream& to)
{
    if (as_json) {
        nlohmann::json out = {{"all", to_json(all)}};
        for (const auto& [name, sums] : groups)
            out["groups"][name] = to_json(sums);
        to << out.dump(json_indent) << "\n";
        return;
    }
    to << "requests, share, time of slots, share\nall\n";
    print_sums(all, to);
    for (const auto& [name, sums] : groups) {
        to << name << "\n";
        print_sums(sums, to);
    }
}

} // namespace

exit_code run_losses(arguments given, const output& to)
{
    option_text by;
    int as_json = 0;
    const std::array table = {
        poptOption{"by",
                   '\0',
                   POPT_ARG_STRING,
                   by.address(),
                   0,
                   "also apart by route, second, upstream or entry",
                   "KEY"},
        poptOption{
            "json", '\0', POPT_ARG_NONE, &as_json, 0, "as JSON", nullptr}};
    const auto options = parse_options({"losses", "LOG..."}, table, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (!is_key(by.value())) {
        to.err
            << "ggdctl losses: --by takes route, second, upstream or entry\n";
        return exit_code::usage;
    }
    request_account account;
    if (options->operands.empty())
        account.read(std::cin, "-");
    for (const std::string& name : options->operands) {
        std::ifstream file(name);
        if (!file) {
            to.err << "ggdctl losses: " << name << " can't be read\n";
            return exit_code::usage;
        }
        account.read(file, name);
    }
    fate_sums all{};
    grouped_sums groups;
    for (const request_record& one : account.records()) {
        add(one, all);
        if (by.given())
            add(one, groups[group_of(one, by.value())]);
    }
    print(all, groups, as_json != 0, to.out);
    return exit_code::good;
}

} // namespace greengagedrum::ctl
