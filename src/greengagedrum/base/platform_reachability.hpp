// Whether an entry reaches the platform's service, as it reports to its peers.
#pragma once

#include <cstdint>

namespace greengagedrum::base
{

enum class platform_reachability : std::uint8_t {
    unknown,    // no recent call; other entries poll the service
    reachable,  // the entry polls the service, which answers
    unreachable // the last call got no answer
};

} // namespace greengagedrum::base
