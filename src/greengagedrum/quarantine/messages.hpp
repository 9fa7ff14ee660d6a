// What entries tell each other of requests under which upstreams ended.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/request_digest.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace greengagedrum::quarantine
{

// An incarnation of an upstream whose connection was lost while it ran the
// request.
struct reported_crash {
    base::upstream_id upstream;
    base::duration age{0};
};

// All that the sender knows of one request. Receivers merge it: crashes by
// upstream, times by the latest, so that nothing is counted twice.
struct suspect_report {
    base::request_digest request;
    base::workspace_id workspace;
    std::vector<reported_crash> crashes;
    std::optional<base::duration> answered_age; // since its last answer
    std::optional<base::duration> trial_age;    // since its last trial was sent
};

enum class quarantine_state : std::uint8_t {
    clear,
    suspected,   // one upstream ended under it: one copy at a time
    trial_due,   // one copy may be sent, to see whether it is sound by now
    quarantined, // not sent
};

std::string_view to_string(quarantine_state what);

// The quarantine state of a request has changed; for the log.
struct quarantine_state_change {
    base::request_digest request;
    base::workspace_id workspace;
    quarantine_state state = quarantine_state::clear;
    std::size_t crashes = 0;
};

} // namespace greengagedrum::quarantine
