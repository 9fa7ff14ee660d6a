#include <greengagedrum/telemetry/metric_descriptions.hpp>

#include <array>

namespace greengagedrum::telemetry
{

namespace
{

// In the order of the enumerations.
constexpr std::array<metric_description, tier_counter_count> tier_counters = {{
    {"greengagedrum_wasted_prefill_tokens_total",
     "Prompt tokens prefilled and then thrown away."},
    {"greengagedrum_retries_total", "Second dispatches of idempotent work."},
    {"greengagedrum_resumes_total",
     "Streams taken up again over a new connection."},
    {"greengagedrum_preemptions_total",
     "Requests cancelled for one of a higher tier."},
    {"greengagedrum_sheds_total", "Requests refused for want of room."},
    {"greengagedrum_stragglers_total", "Streams given up for being too slow."},
}};

constexpr std::array<metric_description, counter_count> counters = {{
    {"greengagedrum_ring_full_total", "Events refused by a full ring."},
    {"greengagedrum_claims_asked_total",
     "Claims of a ticket or key asked of its home."},
    {"greengagedrum_claims_refused_total", "Claims not granted by the home."},
    {"greengagedrum_documents_refused_total",
     "Faulty documents; the last good one stays in force."},
    {"greengagedrum_platform_calls_total", "Calls to the platform."},
    {"greengagedrum_platform_failures_total",
     "Calls to the platform without an answer."},
    {"greengagedrum_peer_frames_bad_total",
     "Refused frames of peers; each closes its link."},
    {"greengagedrum_peer_sent_bytes_total", "Bytes sent to peers."},
    {"greengagedrum_peer_received_bytes_total", "Bytes received from peers."},
    {"greengagedrum_engine_orders_total", "Wanted states given to engines."},
    {"greengagedrum_region_gossip_bytes_total",
     "Bytes of datagrams sent to entries of other regions."},
    {"greengagedrum_region_transfer_bytes_total",
     "Bytes of configuration items received from entries of other regions."},
    {"greengagedrum_region_request_bytes_total",
     "Bytes of requests to upstreams of other regions, and of the responses."},
    {"greengagedrum_region_tunnel_bytes_total",
     "Bytes of requests sent by way of peers of other regions, and of the "
     "responses."},
    {"greengagedrum_memory_rejections_total",
     "Requests that have not run, rejected for want of memory."},
    {"greengagedrum_memory_responses_ended_total",
     "Unread responses that were ended for want of memory."},
    {"greengagedrum_connections_opened_total",
     "Connections opened to upstreams by sends."},
    {"greengagedrum_connections_reused_total", "Sends over a kept connection."},
    {"greengagedrum_connections_kept_total",
     "Connections to upstreams kept for another request."},
    {"greengagedrum_connections_closed_unused_total",
     "Kept connections closed without another request."},
    {"greengagedrum_stream_versions_known_total",
     "Resumed streams whose version a record told."},
    {"greengagedrum_stream_versions_single_total",
     "Resumed streams without a record, whose service has had one version."},
    {"greengagedrum_stream_versions_unknown_total",
     "Resumed streams refused, since their version is unknown."},
    {"greengagedrum_requests_without_version_total",
     "Requests ended since no usable upstream had their version."},
}};

constexpr std::array<metric_description, gauge_count> gauges = {{
    {"greengagedrum_config_age_seconds",
     "Since the configuration in force was last confirmed."},
    {"greengagedrum_config_revision",
     "Revision of the configuration in force."},
    {"greengagedrum_decision_ring_depth", "Events waiting for a decision."},
    {"greengagedrum_requests_waiting", "Requests waiting for an upstream."},
    {"greengagedrum_requests_in_flight", "Requests at an upstream."},
    {"greengagedrum_peers_linked", "Peers with a live link."},
    {"greengagedrum_upstreams_live", "Upstreams that take work."},
    {"greengagedrum_kept_answer_bytes",
     "Bytes of answers kept for callers that ask again."},
    {"greengagedrum_log_lines_dropped", "Log lines lost since the start."},
    {"greengagedrum_stopping", "1 while a graceful stop is under way."},
    {"greengagedrum_requests_quarantined",
     "Different requests that are not sent, since upstreams crashed by them."},
    {"greengagedrum_data_centres_evacuated",
     "Data centres whose upstreams get no new requests."},
    {"greengagedrum_upstreams_rate_limited",
     "Upstreams whose responses announce a rate limit."},
    {"greengagedrum_memory_capacity_bytes",
     "Bytes that may be held in all; 0: not limited."},
    {"greengagedrum_memory_request_bodies_bytes",
     "Held: request bodies being read or kept for another send."},
    {"greengagedrum_memory_unsent_to_upstreams_bytes",
     "Held: request bodies being written to upstreams."},
    {"greengagedrum_memory_responses_bytes",
     "Held: responses not yet read by their callers."},
    {"greengagedrum_memory_tunnels_bytes", "Held: tunnels of peers."},
    {"greengagedrum_memory_transfers_bytes",
     "Held: transfers of the configuration."},
    {"greengagedrum_memory_gossip_bytes", "Held: messages between entries."},
    {"greengagedrum_memory_connections_bytes",
     "Held: buffers of connections, and what stopped ones left unread."},
    {"greengagedrum_connections_idle", "Kept connections to upstreams."},
    {"greengagedrum_congested",
     "1 while packets that the entry sends wait for half a second."},
    {"greengagedrum_stream_records", "Streams whose version is recorded."},
}};

} // namespace

metric_description describe(tier_counter what)
{
    return tier_counters.at(static_cast<std::size_t>(what));
}

metric_description describe(counter what)
{
    return counters.at(static_cast<std::size_t>(what));
}

metric_description describe(gauge what)
{
    return gauges.at(static_cast<std::size_t>(what));
}

std::vector<metric_description> all_metrics()
{
    std::vector<metric_description> all = {requests_metric,
                                           queue_wait_metric,
                                           first_token_metric,
                                           token_gap_metric,
                                           request_metric,
                                           good_answers_metric,
                                           good_tokens_metric,
                                           series_metric,
                                           folded_metric,
                                           dropped_metric};
    all.insert(all.end(), tier_counters.begin(), tier_counters.end());
    all.insert(all.end(), counters.begin(), counters.end());
    all.insert(all.end(), gauges.begin(), gauges.end());
    return all;
}

} // namespace greengagedrum::telemetry
