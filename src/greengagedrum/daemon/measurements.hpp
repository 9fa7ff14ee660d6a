// What stands now and is counted outside telemetry, put into a copy of its
// registry when /metrics or /status is asked for.
#pragma once

#include <greengagedrum/daemon/decision_thread.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/telemetry/registry.hpp>

#include <chrono>
#include <cstdint>

namespace greengagedrum::daemon
{

struct current_facts {
    decision_status core;
    std::size_t ring_depth = 0; // events waiting for a decision
    std::uint64_t config_revision = 0;
    std::chrono::milliseconds config_age{0}; // since last confirmed
    std::uint64_t documents_refused = 0;
    std::uint64_t platform_calls = 0;
    std::uint64_t platform_failures = 0;
    std::uint64_t log_lines_dropped = 0;
    bool stopping = false;
    peer_status peers;
};

// `into` must not hold counts of the same kind yet.
void add_current(const current_facts& facts, telemetry::registry& into);

} // namespace greengagedrum::daemon
