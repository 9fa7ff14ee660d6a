// What the other duties tell telemetry.
//
// Each struct is one measurement; the threads of other duties push them to a
// `collector`. No text of a caller is part of one: names come from the
// published documents.
#pragma once

#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/base/verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace greengagedrum::telemetry
{

// What the metrics of a request are kept by.
struct series_key {
    std::string workspace;
    base::tier tier = base::tier::standard;
    std::string kind;

    friend bool operator<(const series_key& left, const series_key& right)
    {
        return std::tie(left.workspace, left.tier, left.kind) <
               std::tie(right.workspace, right.tier, right.kind);
    }
};

// The end of one request, told once.
struct request_ended {
    series_key series;
    std::optional<base::verdict> failed; // empty: the whole answer was sent
    bool in_time = true;                 // within its deadline
    std::uint64_t tokens = 0;            // generated and sent to the caller
    base::duration total{0};             // arrival to the last byte
    std::optional<base::duration> queue_wait;  // arrival to first dispatch
    std::optional<base::duration> first_token; // arrival to the first token
    std::vector<base::duration> token_gaps;    // from each token to the next
};

// Counted by tier.
enum class tier_counter : std::uint8_t {
    wasted_prefill_tokens, // prefilled, and then thrown away
    retries,               // second dispatches of idempotent work
    resumes,               // streams taken up again over a new connection
    preemptions,           // cancelled for a higher tier
    sheds,                 // refused at admission for want of room
    stragglers             // streams given up for being too slow
};
inline constexpr std::size_t tier_counter_count = 6;

struct tier_count {
    tier_counter what = tier_counter::retries;
    base::tier tier = base::tier::standard;
    std::uint64_t amount = 1;
};

// Counted for the whole process.
enum class counter : std::uint8_t {
    ring_full,         // events refused by a full ring
    claims_asked,      // of a ticket or key at its home
    claims_refused,    // not granted by the home
    documents_refused, // faulty documents; the last good one stays
    platform_calls,
    platform_failures,
    peer_frames_bad, // refused frames; each closes its link
    peer_bytes_sent,
    peer_bytes_received,
    engine_orders, // wanted states given to engines
    // Bytes that this entry moved between its region and others.
    region_gossip_bytes,   // datagrams sent
    region_transfer_bytes, // configuration items received
    region_request_bytes,  // requests and their responses, both directions
    region_tunnel_bytes,   // the same by way of a peer there
    memory_rejections, // requests that have not run, rejected for want of room
    memory_responses_ended, // unread responses, ended for want of room
    // Connections to upstreams by the entry on the users' instances.
    connections_opened,
    connections_reused,
    connections_kept,
    connections_closed_unused,
    // Lookups of the version that began a resumed stream, by result.
    stream_versions_known,
    stream_versions_single, // all upstreams of the service have one version
    stream_versions_unknown,
    // Ended since no usable upstream had the version that they were bound to.
    requests_without_version
};
inline constexpr std::size_t counter_count = 24;

struct process_count {
    counter what = counter::ring_full;
    std::uint64_t amount = 1;
};

// What stands now, for the whole process.
enum class gauge : std::uint8_t {
    config_age_seconds, // since the platform or a peer last confirmed it
    config_revision,
    decision_ring_depth,
    requests_waiting,
    requests_in_flight,
    peers_linked,
    upstreams_live,
    kept_answer_bytes,
    log_lines_dropped,    // since the start
    stopping,             // 1 while a graceful stop is under way
    requests_quarantined, // different ones that crashed upstreams
    data_centres_evacuated,
    upstreams_rate_limited, // announce a limit in their responses
    memory_capacity,        // bytes that the account of memory may hold
    // Bytes held; in the order of memory::kind.
    memory_request_bodies,
    memory_unsent_to_upstreams,
    memory_responses,
    memory_tunnels,
    memory_transfers,
    memory_gossip,
    memory_connections,
    connections_kept, // idle ones to upstreams
    congested,        // 1 while packets sent wait for half a second
    stream_records    // streams whose version is known here
};
inline constexpr std::size_t gauge_count = 24;

struct gauge_set {
    gauge what = gauge::config_age_seconds;
    double value = 0;
};

using measurement =
    std::variant<request_ended, tier_count, process_count, gauge_set>;

} // namespace greengagedrum::telemetry
