// What happened to the requests of one service since the figures were last
// taken.
//
// A queue that drains now and then serves some requests at once. One that
// stands serves nobody at once, however many slots become free, so it shows in
// the shortest wait of an interval rather than in its length.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace greengagedrum::traffic
{

struct queue_figures {
    std::uint64_t arrived = 0;
    std::uint64_t sent = 0;
    // Waits of the requests that were sent; nothing if none was.
    std::optional<base::duration> shortest_wait;
    base::duration longest_wait{0};
    base::duration total_wait{0};
    std::uint64_t refused_on_arrival = 0;
    std::uint64_t refused_waiting = 0;
    base::duration total_wait_refused{0}; // of the latter

    void record_sent(base::duration waited)
    {
        this->sent += 1;
        this->shortest_wait =
            std::min(this->shortest_wait.value_or(waited), waited);
        this->longest_wait = std::max(this->longest_wait, waited);
        this->total_wait += waited;
    }

    void record_refused(base::duration waited)
    {
        if (waited.count() == 0) {
            this->refused_on_arrival += 1;
            return;
        }
        this->refused_waiting += 1;
        this->total_wait_refused += waited;
    }
};

// Of one service, with its state when they were taken.
struct service_queue_figures {
    base::upstream_class_id service;
    queue_figures since;
    std::size_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slots_used = 0; // by this entry and its peers
};

} // namespace greengagedrum::traffic
