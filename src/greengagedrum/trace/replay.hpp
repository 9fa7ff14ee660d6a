// Replays a trace through a fresh decision core.
//
// A recording must bring the same actions, line by line. A hand-written trace
// has `expect` lines, and time passes in it by the core's own timers. In both,
// the promises of `ledger` must hold.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace greengagedrum::trace
{

// The first thing that is not as the trace says.
struct difference {
    std::size_t line = 0; // from 1
    std::string what;
    bool promise_broken = false; // by the core, not a fault of the trace
};

struct replay_result {
    std::optional<difference> first;
    std::size_t events = 0;
    std::size_t actions_compared = 0;
    std::size_t expectations = 0; // that held
    std::string story;

    bool same() const { return !this->first; }
};

replay_result replay(std::span<const std::string> lines);

// The text's lines; empty ones are kept, so that their numbers are right.
std::vector<std::string> split_lines(std::string_view text);

} // namespace greengagedrum::trace
