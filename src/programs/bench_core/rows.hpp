// What the bench of the core measured, as a table or as JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

namespace bench
{

struct settings {
    int json = 0;
    int repeat = 5;
    int decisions = 20'000; // a repeat
    int most_in_flight = 100'000;
    std::string policy = "scheduler";
};

struct row {
    std::uint32_t engines = 0;
    std::uint32_t in_flight = 0;
    std::vector<double> choose_us; // one a repeat, sorted
    std::vector<double> cycle_us;  // choose, sent, two tokens, patience, end
    std::vector<double> core_us;   // the same through scheduler::step
    double bytes_a_request = 0;    // of the planner, in flight
    double bytes_an_engine = 0;    // of the planner, idle
};

inline nlohmann::json spread_of(const std::vector<double>& sorted)
{
    return {{"least", sorted.front()},
            {"median", sorted[sorted.size() / 2]},
            {"most", sorted.back()}};
}

inline void print_json(const std::vector<row>& rows, const settings& how)
{
    nlohmann::json list = nlohmann::json::array();
    for (const row& one : rows)
        list.push_back({{"engines", one.engines},
                        {"in_flight", one.in_flight},
                        {"choose_us", spread_of(one.choose_us)},
                        {"cycle_us", spread_of(one.cycle_us)},
                        {"core_us", spread_of(one.core_us)},
                        {"bytes_a_request", one.bytes_a_request},
                        {"bytes_an_engine", one.bytes_an_engine}});
    const nlohmann::json all = {{"policy", how.policy},
                                {"repeat", how.repeat},
                                {"decisions", how.decisions},
                                {"rows", list}};
    std::cout << all.dump(2) << "\n";
}

inline void print_spread(const std::vector<double>& sorted)
{
    std::printf(" %8.2f (%.2f-%.2f)",
                sorted[sorted.size() / 2],
                sorted.front(),
                sorted.back());
}

inline void print_row(const row& one)
{
    std::printf("%7u %9u", one.engines, one.in_flight);
    print_spread(one.choose_us);
    print_spread(one.cycle_us);
    print_spread(one.core_us);
    std::printf(" %9.0f %9.0f\n", one.bytes_a_request, one.bytes_an_engine);
    std::fflush(stdout);
}

} // namespace bench
