// Log lines about the rate limits that upstreams announce.
#pragma once

#include <greengagedrum/entry/request_handler.hpp>

#include <string_view>

namespace greengagedrum::entry
{

// `source`: who read the upstream's response: "own" for this entry, or the name
// of a peer.
void log_rate_limit(shared_state& state,
                    const traffic::rate_limit_changed& change,
                    std::string_view source);

} // namespace greengagedrum::entry
