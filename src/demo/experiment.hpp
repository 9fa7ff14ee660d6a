// One scenario against several placement policies: the traffic, the faults and
// the deployment they meet. For measurements; daemons are real, all else are
// stand-ins over loopback.
#pragma once

#include <greengagedrum/settings/daemon_settings.hpp>
#include <load/plan.hpp>
#include <load/report.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace demo
{

using greengagedrum::settings::placement_choice;

// From then on the engine runs at 1/factor of its speed.
struct engine_slowdown {
    std::chrono::milliseconds at{0}; // since the load began
    std::string engine;
    double factor = 1;
};

struct entry_end {
    std::chrono::milliseconds at{0};
    std::size_t entry = 0; // place among the fleet's slots
};

struct experiment {
    std::filesystem::path documents;
    double speed = 1; // of all engines, times the fleet's
    std::chrono::milliseconds load_lag{200};
    std::chrono::milliseconds settle{1500}; // before the load begins
    std::vector<engine_slowdown> slowdowns;
    std::vector<entry_end> ends;
    load::plan traffic;
};

struct run_result {
    load::report report;
    double processor = 0; // cores used by the whole process, on average
};

// {"documents", "speed", "load_lag_ms", "settle_ms", "faults": [{"at": S,
// "slow": ENGINE, "factor": F} or {"at": S, "end_entry": INDEX}], "load": a
// scenario as in docs/operators/load.md}. The error says what is wrong.
tl::expected<experiment, std::string> parse_experiment(std::string_view text);

// The name as `--placement` takes it.
std::string_view name_of(placement_choice policy);

// Starts the deployment, runs the traffic and the faults, ends it again.
tl::expected<run_result, std::string> run_experiment(const experiment& wanted,
                                                     placement_choice policy);

} // namespace demo
