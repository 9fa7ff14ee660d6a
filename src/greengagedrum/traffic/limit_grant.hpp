// Messages by which entries give each other permits for upstreams that announce
// a rate limit.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::traffic
{

// Queued requests of one service that an entry may not send, since its own part
// of the limits is used up.
struct limit_need {
    base::upstream_class_id service;
    std::uint32_t requests = 0;
};

// Requests that the receiver may send instead of the giver. They count as sent
// by the giver whether the receiver sends them or not.
struct limit_permit {
    base::upstream_id upstream;
    std::uint32_t requests = 0;
    // Since the receiver sent the need that is answered, by its own clock.
    base::duration lifetime{0};
};

struct limit_grant {
    base::incarnation giver;
    std::uint64_t number = 0;   // increases with each grant of an incarnation
    base::incarnation receiver; // that stated the need
    std::uint64_t need_number = 0; // of the receiver's message that stated it
    std::vector<limit_permit> permits;
};

} // namespace greengagedrum::traffic
