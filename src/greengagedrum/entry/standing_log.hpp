// The log lines of requests that crash upstreams.
#pragma once

#include <greengagedrum/entry/front.hpp>

#include <string>
#include <string_view>

namespace greengagedrum::entry
{

// Empty while it is not configured here.
std::string workspace_name(const shared_state& state, base::workspace_id id);

// `source`: who saw it, this entry ("own") or a peer.
void log_standing(shared_state& state,
                  const quarantine::quarantine_state_change& change,
                  std::string_view source);

} // namespace greengagedrum::entry
