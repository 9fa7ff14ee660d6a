// Whether a kind of request may be dispatched to an upstream more than once.
#pragma once

#include <cstdint>

namespace greengagedrum::base
{

enum class repetition : std::uint8_t {
    idempotent,  // may be dispatched again after a failure
    at_most_once // dispatched once; recovered only by resuming its stream
};

} // namespace greengagedrum::base
