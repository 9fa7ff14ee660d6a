#include <greengagedrum/entry/milliseconds.hpp>
#include <greengagedrum/entry/standing_log.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

std::string_view event_of(quarantine::standing what)
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
    if (!state.known.routes())
        return {};
    const auto& all = state.known.routes()->config().workspaces;
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const auto& one) { return one.id == id; });
    return found == all.end() ? std::string() : found->name;
}

void log_standing(shared_state& state,
                  const quarantine::standing_change& change,
                  std::string_view source)
{
    const base::instant now = state.clock();
    const base::duration pause =
        state.scheduler.crash_suspects().pause_left(change.request, now);
    state.log.write(now,
                    "quarantine",
                    event_of(change.now),
                    {{"digest", base::to_hex(change.request)},
                     {"workspace", workspace_name(state, change.workspace)},
                     {"crashes", change.crashes},
                     {"pause_ms", milliseconds(pause)},
                     {"source", source}});
}

} // namespace greengagedrum::entry
