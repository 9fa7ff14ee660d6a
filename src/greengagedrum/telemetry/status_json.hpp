// The metrics' part of /status, for a person or a script.
#pragma once

#include <greengagedrum/telemetry/registry.hpp>

#include <nlohmann/json_fwd.hpp>

namespace greengagedrum::telemetry
{

// {"tiers": {"urgent": {"good_answers": N, ...}}, "counters": {...},
//  "gauges": {...}, "series": [{"workspace", "tier", "kind", "answered",
//  "not_run": {REASON: N}, "may_have_run": {REASON: N}, "queue_wait_ms":
//  {"count", "p50", "p95", "p99", "max"}, ...}]}
// Names are those of /metrics without the prefix "greengagedrum_".
nlohmann::json to_json(const registry& measured);

// {"count": N} and, with values, "p50", "p95", "p99" and "max" in ms.
nlohmann::json to_json(const latency_histogram& histogram);

} // namespace greengagedrum::telemetry
