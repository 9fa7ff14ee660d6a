// A stated outcome of a hand-written trace, checked against the ledger.
//
// About a request: {"request": N} with any of
//   "ends": "answered" | "not_run" | "may_have_run" | "open",
//   "why": a verdict's reason, "retry_hint": bool, "answer_length": bytes,
//   "ended_by_ms": T, "never_dispatched": true,
//   "dispatched_times": n, "dispatched_times_most": n,
//   "upstreams_least": n, "resumed_times_least": n, "cancelled": bool,
//   "dispatched_before": another request, "ended_before": another request.
// About an upstream: {"upstream": NAME} with any of
//   "no_dispatch_after_ms": T, "dispatched_times": n,
//   "dispatched_times_least": n.
// About all: {"all": true} with any of
//   "dispatched_times_most": n, "ends": "answered", "open": n.
// "Dispatched" leaves out those whose connect was refused.
#pragma once

#include <greengagedrum/trace/ledger.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace greengagedrum::trace
{

// What does not hold (or is no statement), if anything.
std::optional<std::string> broken(const nlohmann::json& expect,
                                  const ledger& found);

} // namespace greengagedrum::trace
