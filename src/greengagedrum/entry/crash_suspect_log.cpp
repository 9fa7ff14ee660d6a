#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

std::string_view event_name(const quarantine::quarantine_state_change& change)
{
    using quarantine::quarantine_state;
    if (change.kind == quarantine::suspect_kind::prompt_part)
        return change.state == quarantine_state::clear
                   ? "prompt_part_cleared"
                   : "prompt_part_quarantined";
    switch (change.state) {
    case quarantine_state::clear:
        return "request_cleared";
    case quarantine_state::suspected:
        return "request_suspected";
    case quarantine_state::trial_due:
        return "request_trial_due";
    case quarantine_state::confirming:
    case quarantine_state::quarantined:
        break;
    }
    return "request_quarantined";
}

} // namespace

std::string workspace_name(const shared_state& state, base::workspace_id id)
{
    if (!state.cluster.routes())
        return {};
    const auto& workspaces = state.cluster.routes()->config().workspaces;
    const auto found =
        std::find_if(workspaces.begin(),
                     workspaces.end(),
                     [&](const auto& one) { return one.id == id; });
    return found == workspaces.end() ? std::string() : found->name;
}

void log_crash_suspect(shared_state& state,
                       const quarantine::quarantine_state_change& change,
                       std::string_view source)
{
    const base::instant now = state.clock();
    const base::duration pause =
        state.scheduler.crash_suspects().time_until_trial(change.request, now);
    state.log.write(now,
                    "quarantine",
                    event_name(change),
                    {{"digest", base::to_hex(change.request)},
                     {"workspace", workspace_name(state, change.workspace)},
                     {"crashes", change.crashes},
                     {"pause_ms", to_milliseconds(pause)},
                     {"source", source}});
}

} // namespace greengagedrum::entry
