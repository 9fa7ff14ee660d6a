#include <greengagedrum/traffic/messages.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

base::duration first_event_timeout_of(const request_facts& facts)
{
    if (!facts.stream)
        return facts.time_left;
    constexpr base::duration least = std::chrono::seconds(2);
    const base::duration first = std::max(
        {least, 4 * facts.latency_objective, 8 * facts.event_gap_objective});
    return std::min(facts.time_left, first);
}

} // namespace greengagedrum::traffic
