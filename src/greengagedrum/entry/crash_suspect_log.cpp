#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

std::string_view event_name(quarantine::standing what)
{
    using quarantine::standing;
    switch (what) {
    case standing::clear:
        return "request_cleared";
    case standing::suspected:
        return "request_suspected";
    case standing::trial_due:
        return "request_trial_due";
    case standing::quarantined:
        break;
    }
    return "request_quarantined";
}

} // namespace

std::string workspace_name(const shared_state& state, base::workspace_id id)
{
    if (!state.cluster.routes())
        return {};
    const auto& all = state.cluster.routes()->source().workspaces;
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const auto& one) { return one.id == id; });
    return found == all.end() ? std::string() : found->name;
}

void log_crash_suspect(shared_state& state,
                       const quarantine::standing_change& change,
                       std::string_view source)
{
    const base::instant now = state.clock();
    const base::duration pause =
        state.scheduler.crash_suspects().pause_left(change.request, now);
    state.log.write(now,
                    "quarantine",
                    event_name(change.now),
                    {{"digest", base::to_hex(change.request)},
                     {"workspace", workspace_name(state, change.workspace)},
                     {"crashes", change.crashes},
                     {"pause_ms", to_milliseconds(pause)},
                     {"source", source}});
}

} // namespace greengagedrum::entry
