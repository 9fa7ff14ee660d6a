// What an entry adds to the latency of an engine.
#pragma once

#include <load/answer_checker.hpp>
#include <load/comparison.hpp>
#include <load/plan.hpp>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stop_token>
#include <string>
#include <vector>

namespace load
{

// One caller, one request at a time, each sent once by way of the entry and
// once straight to the engine; which goes first alternates. The engine should
// be idle otherwise, and the only one the entry can choose.
struct overhead_settings {
    std::string entry;  // "IP:port"
    std::string engine; // "IP:port" of its stand-in
    std::string model;
    traffic_class sort; // a streaming kind with a model
    std::uint32_t prompt_bytes = 512;
    std::uint32_t max_tokens = 16;
    std::size_t rounds = 5;   // the spread is over these
    std::size_t pairs = 100;  // in each round
    std::size_t warm_up = 10; // pairs before the first round, not counted
    std::uint64_t seed = 1;
    expected_text expected;
};

// One figure in milliseconds; each spread is over the rounds.
struct overhead_row {
    std::string figure; // "first token p50" and so on
    spread entry;
    spread direct;
    spread added; // entry - direct of the same round
};

struct overhead_report {
    std::vector<overhead_row> rows;
    std::size_t pairs = 0;  // measured
    std::size_t failed = 0; // left out: one of the two got no correct answer
};

// Bounded by 1,000,000 pairs; an error says which setting is wrong, or that
// every pair of a round failed.
tl::expected<overhead_report, std::string>
measure_overhead(const overhead_settings& settings,
                 const std::stop_token& stop = {});

// The quantile of a sample: the smallest value with at least that part at or
// below it. 0 of none.
double quantile_of(std::vector<double> values, double part);

nlohmann::json to_json(const overhead_report& found);
std::string to_text(const overhead_report& found);

} // namespace load
