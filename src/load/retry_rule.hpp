// Whether a caller comes back after a try, and when.
#pragma once

#include <greengagedrum/base/repetition.hpp>
#include <load/answer.hpp>
#include <load/plan.hpp>

#include <chrono>
#include <optional>

namespace load
{

// A try that ended, and what is left.
struct ended_try {
    ending how = ending::lost;
    int tries = 1;                     // so far, with this one
    std::chrono::milliseconds left{0}; // until the caller's deadline
    std::optional<std::chrono::milliseconds> retry_after;
    bool named = false; // the caller holds a key or ticket to come back with
};

// The wait before the next try, or none: the caller has its answer, gave up,
// or must not ask again because that could run the request twice.
std::optional<std::chrono::milliseconds>
next_try(const retry_settings& settings,
         greengagedrum::base::repetition repeats,
         const ended_try& last);

} // namespace load
