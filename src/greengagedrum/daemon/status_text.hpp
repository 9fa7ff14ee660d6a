// The body of /status: JSON for operators and `ggdctl status`.
#pragma once

#include <greengagedrum/config/store.hpp>
#include <greengagedrum/daemon/decision_thread.hpp>
#include <greengagedrum/daemon/document_duty.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/telemetry/registry.hpp>

#include <string>
#include <vector>

namespace greengagedrum::daemon
{

struct status_facts {
    std::string instance;
    std::string data_centre;
    base::incarnation life;
    bool ready = false;
    bool stopping = false;
    std::uint64_t config_revision = 0;   // changes held up to here
    std::uint64_t in_force_revision = 0; // of the last set put into force
    std::vector<config::refusal> refusals;
    config::fault_list warnings;
    document_status spread;
    decision_status core;
    std::uint64_t platform_calls = 0;
    peer_status peers;
    bool superseded = false;       // a later process has our slot
    config::snapshot_ptr in_force; // for the names of slots; null at first
};

// With `measured` under "metrics", see telemetry/status_json.hpp.
std::string status_text(const status_facts& facts,
                        const telemetry::registry& measured);

} // namespace greengagedrum::daemon
