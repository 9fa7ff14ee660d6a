// What the published configuration says: routes, services, workspaces and the
// limits that bound callers' requests.
//
// One value is one version, complete and immutable; a newer version replaces
// it whole. Names are kept beside their hashes for logs and headers.
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

// How often a request may be run.
enum class retry_policy : std::uint8_t {
    idempotent,   // again, after any failure
    at_most_once, // once in all
    resumable     // a stream; again, from its last event on
};

struct route_target {
    base::upstream_class_id service;
    std::string service_name;
    double weight = 1; // share of the route's requests, relative
};

struct route {
    std::string name;
    base::kind_id id;
    std::string host;   // lower case, without port
    std::string prefix; // begins and ends with a slash
    retry_policy retry = retry_policy::at_most_once;
    bool stream = false;
    bool anonymous = false;         // needs no key
    std::uint32_t priority = 0;     // 0 is the most urgent
    std::uint32_t attempts_max = 1; // upstreams that one request may be sent to
    base::duration timeout{0};      // 0: none
    base::duration latency_objective{
        0}; // to the answer, or a stream's first event
    base::duration event_gap_objective{0}; // between a stream's events
    std::vector<route_target> targets;     // never empty
    std::vector<std::string> regions;      // where it may run; empty: anywhere
};

struct service {
    std::string name;
    base::upstream_class_id id;
    bool engine = false;               // a model engine; else a plain service
    std::uint32_t connections_max = 0; // of one upstream, all callers; 0: none
    base::duration warmup{0};          // how long one is cold after its start
    // Requests that a cold one takes, of all callers; 0: no bound is published.
    double warmup_requests_per_second = 0;
};

// A limit on what a workspace may ask for, over all entries together.
struct usage_limit {
    double per_second = 0; // 0: unlimited
    double burst = 0;
    bool in_tokens = false; // else in requests
    double default_request_tokens =
        0; // what a request without a token count costs
};

struct workspace {
    std::string name;
    base::workspace_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // orders workspaces
    std::vector<std::string> regions;      // of its requests; empty: anywhere
    usage_limit limit;
};

// Bounds on what a caller sends. Zero: the built-in bound holds.
struct caller_limits {
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    base::duration head_timeout{0};
    base::duration idle_timeout{0};
};

struct configuration {
    std::int64_t version = 0;   // the operator's number
    std::uint64_t revision = 0; // of the store, orders versions
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces; // empty: requests need no key
    caller_limits limits;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace greengagedrum::routing
