// Where a kind of request may go: what the documents allow, and what one
// daemon sees of it.
//
// It repeats no decision of placement: which of the candidates a request goes
// to depends on their load at that moment.
#pragma once

#include <greengagedrum/config/snapshot.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::ctl
{

// One upstream as a daemon shows it in /status.
struct seen_upstream {
    bool listed = false;
    std::uint32_t in_flight = 0;
    std::uint32_t allowance = 0;
    double others = 0;
    std::string suspected; // "none", "slow", "silent" or "refused"
};

struct candidate {
    config::upstream_entry entry;
    std::optional<seen_upstream> seen;
};

struct centre_candidates {
    std::string name;
    bool home = false;
    std::vector<candidate> candidates;
    std::vector<std::string> without_model; // of the class, but not for it
};

struct explanation {
    std::string workspace;
    config::kind_rules rules;
    std::string seen_by; // the daemon's name; empty: none was asked
    std::vector<centre_candidates> centres;
};

explanation explain(const config::fleet& fleet,
                    const config::workspace_rules& workspace,
                    const config::kind_rules& kind);

// Adds what the daemon sees. False when its status can't be read.
bool add_seen(explanation& to, const nlohmann::json& status);

} // namespace greengagedrum::ctl
