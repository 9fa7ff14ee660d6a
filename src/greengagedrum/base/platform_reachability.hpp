// What an entry says of its own hearing of the platform's service.
#pragma once

#include <cstdint>

namespace greengagedrum::base
{

enum class platform_reachability : std::uint8_t {
    unknown,    // it has not asked lately: others do
    reachable,  // it watches, and the service answers
    unreachable // its last call got no answer
};

} // namespace greengagedrum::base
