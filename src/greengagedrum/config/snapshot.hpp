// One complete, validated set of configuration, immutable once built.
//
// Threads share it by shared_ptr<const snapshot>; a change makes a new one.
#pragma once

#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/config/kind_rules.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagedrum::config
{

// The highest revision of the platform that a set of documents contains.
using revision = std::uint64_t;

using sha256_digest = std::array<std::uint8_t, 32>;

struct workspace_rules {
    std::string name;
    base::workspace_id id;
    base::data_centre_id home;    // where its callers' own keys are claimed
    sha256_digest token_digest{}; // SHA-256 of the caller's bearer token
    std::vector<kind_rules> kinds;

    // Null when the workspace has no such kind.
    const kind_rules* find_kind(std::string_view kind_name) const;
};

struct snapshot {
    revision rev = 0;
    config::fleet fleet;
    std::unordered_map<std::string, workspace_rules> workspaces;

    const workspace_rules* find_workspace(const std::string& name) const;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace greengagedrum::config
