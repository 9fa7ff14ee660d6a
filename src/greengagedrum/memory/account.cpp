#include <greengagedrum/memory/account.hpp>

namespace greengagedrum::memory
{

namespace
{

// Buffers and messages of the process itself count towards no workspace.
bool counts_for_workspace(kind value)
{
    return value <= kind::tunnels;
}

} // namespace

std::string_view to_string(kind value)
{
    constexpr std::array<std::string_view, kind_count> names = {
        "request_bodies",
        "unsent_to_upstreams",
        "responses",
        "tunnels",
        "transfers",
        "gossip",
        "connections"};
    return names.at(static_cast<std::size_t>(value));
}

std::uint64_t account::held(base::workspace_id workspace) const
{
    const auto found = this->by_workspace.find(workspace);
    return found == this->by_workspace.end() ? 0 : found->second;
}

bool account::may_read_body(base::workspace_id workspace,
                            std::uint64_t body_bytes) const
{
    if (body_bytes <= this->bounds.small_body)
        return this->total + body_bytes <= this->bounds.end_response;
    return this->total + body_bytes <= this->bounds.stop_reading &&
           this->held(workspace) + body_bytes <= this->bounds.workspace_share;
}

void account::add(kind what, base::workspace_id workspace, std::uint64_t bytes)
{
    if (bytes == 0)
        return;
    this->total += bytes;
    this->by_kind.at(static_cast<std::size_t>(what)) += bytes;
    if (counts_for_workspace(what))
        this->by_workspace[workspace] += bytes;
}

void account::subtract(kind what,
                       base::workspace_id workspace,
                       std::uint64_t bytes)
{
    if (bytes == 0)
        return;
    this->total -= bytes;
    this->by_kind.at(static_cast<std::size_t>(what)) -= bytes;
    if (!counts_for_workspace(what))
        return;
    const auto found = this->by_workspace.find(workspace);
    found->second -= bytes;
    if (found->second == 0)
        this->by_workspace.erase(found);
}

} // namespace greengagedrum::memory
