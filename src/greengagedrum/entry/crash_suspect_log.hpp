// Log lines about requests suspected of crashing upstreams.
#pragma once

#include <greengagedrum/entry/request_handler.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::entry
{

// Empty if the workspace is not in the configuration.
std::string workspace_name(const shared_state& state, base::workspace_id id);

// `source`: who observed the change: "own" for this entry, "operator", or the
// name of a peer.
void log_crash_suspect(shared_state& state,
                       const quarantine::standing_change& change,
                       std::string_view source);

} // namespace greengagedrum::entry
