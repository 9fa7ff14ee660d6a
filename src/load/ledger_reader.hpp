// Fetches the ledgers of the upstreams' stand-ins.
#pragma once

#include <load/ledger.hpp>

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace load
{

// All ledgers as read, and how many could not be (a dead upstream's, say).
struct ledgers_read {
    std::vector<ledger_run> runs;
    std::size_t read = 0;
    std::size_t failed = 0;
};

// Reads until no run whose tag begins with `run` is still running, at most
// for `longest`: an answer that was given up may run on for a while.
ledgers_read read_ledgers(std::span<const std::string> addresses,
                          std::string_view run,
                          std::chrono::milliseconds longest);

} // namespace load
