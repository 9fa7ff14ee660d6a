// The life of one request: its tries, one after another.
#pragma once

#include <load/answer_checker.hpp>
#include <load/caller.hpp>
#include <load/outcome.hpp>
#include <load/plan.hpp>
#include <load/question.hpp>
#include <load/schedule.hpp>

#include <chrono>
#include <stop_token>
#include <string>

namespace load
{

// What the requests of one run share.
struct run_context {
    const plan* planned = nullptr;
    const expected_text* expected = nullptr;
    std::size_t entries = 0;
    std::string run; // the run's name, in every tag
    std::chrono::steady_clock::time_point start;
    std::stop_token stop;
};

// Sends the request that arrives now and comes back as `retry_rule` says, each
// time through the next entry. Returns when the request has ended or its
// deadline and grace have passed.
outcome
run_request(const run_context& context, const arrival& coming, caller& sender);

// Sleeps until then; false when stopped before.
bool sleep_until(std::chrono::steady_clock::time_point when,
                 const std::stop_token& stop);

} // namespace load
