// Runs a load against a system that is up.
#pragma once

#include <load/answer_checker.hpp>
#include <load/plan.hpp>
#include <load/report.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>
#include <vector>

namespace load
{

// How far a run is.
struct progress {
    std::chrono::milliseconds elapsed{0};
    std::uint64_t scheduled = 0;
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;
    std::uint64_t correct = 0;
};

// What the load is run against, and how it is checked.
struct targets {
    std::vector<std::string> entries; // "IP:port"
    std::vector<std::string> ledgers; // of the upstreams' stand-ins
    expected_text expected;           // empty: own text isn't checked

    // In every tag; must not have been used against the same upstreams. Empty:
    // one is drawn.
    std::string run;

    // Called about once a second by the thread that called `run`.
    std::function<void(const progress&)> on_progress;

    // How long the ledgers may take to come to rest.
    std::chrono::milliseconds settle{3'000};
};

// Open loop: sends every arrival of the plan at its time, whatever the answers
// do, as far as `plan.threads` reach (the lateness is in the report). Returns
// when all requests have ended and the ledgers are read; bounded by the plan's
// length, the longest deadline, the grace and `settle`. An error says what is
// wrong with the plan or the targets. A stop sends nothing further.
tl::expected<report, std::string>
run(const plan& planned, const targets& against, std::stop_token stop = {});

} // namespace load
