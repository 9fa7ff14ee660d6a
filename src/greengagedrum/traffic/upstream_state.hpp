// What is known of one upstream, and of all upstreams of a service.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/regions.hpp>
#include <greengagedrum/traffic/inter_event_time.hpp>
#include <greengagedrum/traffic/outlier_detector.hpp>
#include <greengagedrum/traffic/prefill_interference.hpp>
#include <greengagedrum/traffic/slow_start.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace greengagedrum::traffic
{

struct upstream_state {
    base::upstream_class_id service;
    std::uint32_t slots = 1;
    bool listed = true;
    base::version_id version;
    base::data_centre_id data_centre;
    bool is_near = false; // in the data centre of this entry
    routing::distance away = routing::distance::own_region;
    std::string region; // empty: unknown
    // For each slot that a peer freed, the time until which it is reserved.
    std::vector<base::instant> reserved_until;
    std::uint32_t own_requests = 0;
    std::uint32_t own_pending_prefill = 0; // prompt tokens that await prefill
    std::uint32_t peer_requests = 0;
    std::uint32_t peer_pending_prefill = 0;
    double pace = 0; // relative to the reference; 0: unknown
    base::instant paced_at;
    base::instant progress_at;
    inter_event_time speed;
    outlier_detector outliers;
    base::instant cold_until;
    recent_sends recent; // used if the service has a slow-start bound
};

// An upstream of a service. `state` is valid while the upstream is listed.
struct service_member {
    base::upstream_id id;
    upstream_state* state = nullptr;
};

struct service_state {
    std::vector<service_member> members;
    double pace = 1;         // mean over its upstreams
    double event_gap = 0;    // mean time between events in seconds; 0: unknown
    double events = 0;       // number of events in that mean
    double token_time = 0;   // mean seconds for one expected output token
    double failure_rate = 0; // share of failed requests
    base::instant probe_at;  // earliest time of the next probe
    prefill_interference gaps;
    std::uint32_t cold_rate = 0; // requests/s per cold upstream; 0: any
};

} // namespace greengagedrum::traffic
