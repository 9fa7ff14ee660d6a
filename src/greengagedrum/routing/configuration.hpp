// The published configuration: routes, services, workspaces, and the limits on
// callers' requests.
//
// A value is one complete, immutable version; a newer version replaces it as a
// whole. Names are kept beside their hashes, for logs and headers.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::routing
{

// When a request may be sent again after a failed attempt.
enum class retry_policy : std::uint8_t {
    idempotent,   // after any failure
    at_most_once, // run at most once
    resumable     // a stream; from its last event on
};

struct route_target {
    base::upstream_class_id service;
    std::string service_name;
    double weight = 1; // relative share of the route's requests
};

struct route {
    std::string name;
    base::kind_id id;
    std::string host;   // lower case, without port
    std::string prefix; // begins and ends with a slash
    retry_policy retry = retry_policy::at_most_once;
    bool stream = false;
    bool anonymous = false;     // needs no API key
    std::uint32_t priority = 0; // 0 is the highest
    // Of one request; each goes to another upstream.
    std::uint32_t attempts_max = 1;
    base::duration timeout{0}; // 0: none
    // Until the answer, or a stream's first event.
    base::duration latency_objective{0};
    base::duration event_gap_objective{0}; // between events of a stream
    std::vector<route_target> targets;     // never empty
    // Where its requests may run; empty: anywhere.
    std::vector<std::string> regions;
};

struct service {
    std::string name;
    base::upstream_class_id id;
    bool engine = false; // a model engine, not a plain service
    // To one upstream, over all callers; 0: unlimited.
    std::uint32_t connections_max = 0;
    base::duration warmup{0}; // how long an upstream is cold after its start
    // Requests a second that a cold upstream takes, over all callers; 0: no
    // bound is published.
    double warmup_requests_per_second = 0;
};

// A limit on a workspace's requests, over all entries together.
struct usage_limit {
    double per_second = 0; // 0: unlimited
    double burst = 0;
    bool in_tokens = false; // else in requests
    // Cost of a request without a token count.
    double default_request_tokens = 0;
};

struct workspace {
    std::string name;
    base::workspace_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // among workspaces; 0 is the highest
    // Where its requests may run; empty: anywhere.
    std::vector<std::string> regions;
    usage_limit limit;
};

// Bounds on callers' requests. Zero: the built-in bound holds.
struct caller_limits {
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    base::duration head_timeout{0};
    base::duration idle_timeout{0};
};

struct configuration {
    std::int64_t version = 0;   // set by the operator
    std::uint64_t revision = 0; // of the store; orders versions
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces; // empty: requests need no key
    caller_limits limits;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace greengagedrum::routing
