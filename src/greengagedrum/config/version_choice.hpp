// Which versions of a workspace and of its template go together.
//
// The newest of both when they fit. When they don't, the change that was
// published last is the one passed over, so that it can't undo an earlier one
// that is in force already. Depends only on the versions given.
#pragma once

#include <greengagedrum/config/document_history.hpp>

#include <map>
#include <string>
#include <vector>

namespace greengagedrum::config
{

using history_map = std::map<std::string, document_history, std::less<>>;

// A version passed over, and why.
struct passed_over {
    std::string document;
    std::uint64_t revision = 0;
    fault_list faults;
};

struct version_choice {
    const sound_version* workspace = nullptr; // null: none goes in force
    const sound_version* from = nullptr;      // its template
    std::vector<passed_over> refused;
};

// `name` is the workspace document's. A deleted workspace chooses none.
version_choice choose_versions(const history_map& documents,
                               const std::string& name);

} // namespace greengagedrum::config
