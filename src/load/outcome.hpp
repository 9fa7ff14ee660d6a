// How one request ended, over all its tries.
#pragma once

#include <load/answer.hpp>
#include <load/plan.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace load
{

struct outcome {
    std::string tag;
    const traffic_class* sort = nullptr; // of the plan, which outlives it
    ending how = ending::lost;           // see `whole_ending`
    std::string reason;
    int tries = 0;
    bool surely_not_run = false; // every try said so, or never connected
    std::vector<fault> faults;   // of any try

    // Since the scheduled arrival, so that a late send counts as waiting.
    std::chrono::microseconds total{0};
    std::optional<std::chrono::microseconds> first_token;
    std::vector<std::chrono::microseconds> between; // of the last try

    bool correct() const
    {
        return this->how == ending::answered && this->faults.empty();
    }
    bool good() const
    {
        return this->correct() && this->total <= this->sort->deadline;
    }
};

// The ending of a request from those of its tries so far and the last one: an
// earlier uncertain try keeps a later `not_run` from being the whole truth.
ending whole_ending(ending before, ending last);

} // namespace load
