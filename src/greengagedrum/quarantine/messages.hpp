// What entries report to each other of requests, and of parts of prompts, that
// may crash upstreams.
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

enum class suspect_kind : std::uint8_t {
    request,     // equal requests, by workspace, method, target and body
    prompt_part, // requests of one service that share a part of their prompts
};

std::string_view to_string(suspect_kind kind);

// One incarnation of an upstream whose connection was lost while the request
// was running on it.
struct reported_crash {
    base::upstream_id upstream;
    base::duration age{0};
};

// All that the sender knows of one request or prompt part. Receivers merge it,
// crashes by upstream and times by the latest, so that nothing is counted
// twice.
struct suspect_report {
    base::request_digest request;
    base::workspace_id workspace;
    std::vector<reported_crash> crashes;
    std::optional<base::duration> answered_age; // since its last answer
    std::optional<base::duration> trial_age;    // since its last trial was sent
    suspect_kind kind = suspect_kind::request;
};

// Asks a peer for all records with a digest above `after`, in their order.
struct suspect_query {
    base::request_digest after;
};

// Describes the records in one of the messages that answer a query.
struct suspect_page {
    base::request_digest after; // the records follow this one,
    base::request_digest last;  // up to this one
    bool complete = false;      // there are none after `last`
    // The sender has just started and doesn't know the records either.
    bool uninformed = false;
    std::uint32_t pages_to_come = 0; // in answer to the same query
};

enum class quarantine_state : std::uint8_t {
    clear,
    suspected,   // one copy runs at a time
    confirming,  // held until answers known to peers have been reported
    trial_due,   // quarantined, but one copy may be sent to test it
    quarantined, // refused
};

std::string_view to_string(quarantine_state state);

// The new state of a request or prompt part, for the log.
struct quarantine_state_change {
    base::request_digest request;
    base::workspace_id workspace;
    quarantine_state state = quarantine_state::clear;
    std::size_t crashes = 0;
    suspect_kind kind = suspect_kind::request;
};

} // namespace greengagedrum::quarantine
