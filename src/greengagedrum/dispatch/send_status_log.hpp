// A member's log of what became of its sends: kept until its dispatcher has
// acknowledged the updates.
#pragma once

#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/traffic/messages.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace greengagedrum::dispatch
{

class send_status_log
{
public:
    void record(const traffic::event& event);

    // The dispatcher has received all updates up to that sequence number.
    void acknowledge(std::uint64_t sequence);

    std::vector<send_status_update> unacknowledged() const;

private:
    void record(const send_id& id, send_status status);

    std::deque<send_status_update> updates;
    std::set<send_id> started_sends; // whose first event was recorded
    std::uint64_t last_sequence = 0;
};

} // namespace greengagedrum::dispatch
