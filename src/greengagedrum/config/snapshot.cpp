#include <greengagedrum/config/snapshot.hpp>

namespace greengagedrum::config
{

const kind_rules* workspace_rules::find_kind(std::string_view kind_name) const
{
    for (const kind_rules& kind : this->kinds) {
        if (kind.name == kind_name)
            return &kind;
    }
    return nullptr;
}

const workspace_rules* snapshot::find_workspace(const std::string& name) const
{
    const auto found = this->workspaces.find(name);
    return found == this->workspaces.end() ? nullptr : &found->second;
}

} // namespace greengagedrum::config
