// The settings of greengagedrumd, checked and typed.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/idempotency/home_lease.hpp>
#include <greengagedrum/logs/level.hpp>
#include <greengagedrum/settings/parse.hpp>
#include <greengagedrum/settings/setting.hpp>

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace greengagedrum::settings
{

// How upstreams are chosen; all but `scheduler` are baselines to measure by.
enum class placement_choice : std::uint8_t {
    scheduler,
    round_robin,
    least_reported,
    least_outstanding
};

// Where the events of the decision core are written, as JSON lines.
enum class trace_target : std::uint8_t { off, standard_output };

struct daemon_settings {
    std::string instance;    // name of the published entry slot
    std::string data_centre; // name of the data centre it stands in

    base::ip_endpoint listen_address; // callers
    base::ip_endpoint admin_address;  // operators
    base::ip_endpoint peer_address;   // other entries
    std::vector<base::ip_endpoint> platform_addresses;

    std::string peer_key;                         // signs what goes to peers
    std::optional<std::string> peer_key_previous; // taken from them too

    logs::level log_level = logs::level::info;
    trace_target record_trace = trace_target::off;
    placement_choice placement = placement_choice::scheduler;

    std::chrono::milliseconds stop_bound{0}; // longest graceful stop
    std::size_t caller_threads = 0;          // callers served at once
    std::size_t decision_ring = 0;           // events waiting for a decision
    std::size_t body_bytes_max = 0;          // a caller's request body

    std::size_t kept_answer_bytes = 0; // all kept answers together
    std::chrono::milliseconds kept_answer_time{0};

    std::chrono::milliseconds connect_timeout{0};  // to an upstream
    std::chrono::milliseconds progress_timeout{0}; // floor, per stream
    unsigned retry_budget_percent = 0; // second dispatches per fresh one

    // What an entry must know before it grants a caller's key.
    idempotency::lease_condition claim_guard =
        idempotency::lease_condition::other_slots;
    std::chrono::milliseconds lease{3000};           // longest unnoticed pause
    std::chrono::milliseconds key_skew{2000};        // between clocks
    std::chrono::milliseconds retry_window{600'000}; // of a caller's key

    std::size_t metric_series_max = 0;
};

// What a start of greengagedrumd asks for.
struct daemon_start {
    parsed_settings parsed; // for `answer_command`
    daemon_settings values; // empty when --help or --version is wanted
};

const setting_table& daemon_table();

// `arguments` are without the program's name. All faults come at once.
tl::expected<daemon_start, setting_faults>
parse_daemon(std::span<const std::string> arguments,
             const environment_lookup& environment);

} // namespace greengagedrum::settings
