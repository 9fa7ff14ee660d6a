#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/quarantine_endpoint.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <nlohmann/json.hpp>

namespace greengagedrum::entry
{

namespace
{

constexpr std::string_view list_target = "/quarantine";
constexpr std::string_view release_target = "/quarantine/release/";
constexpr unsigned not_found = 404;
constexpr unsigned wrong_method = 405;

relay::small_answer list(const shared_state& state)
{
    const base::instant now = state.clock();
    const quarantine::suspect_table& suspects =
        state.scheduler.crash_suspects();
    nlohmann::json out = nlohmann::json::array();
    for (const quarantine::quarantine_state_change& one :
         suspects.list_quarantined(now))
        out.push_back(
            {{"digest", base::to_hex(one.request)},
             {"kind", quarantine::to_string(one.kind)},
             {"workspace", workspace_name(state, one.workspace)},
             {"standing", quarantine::to_string(one.state)},
             {"crashes", one.crashes},
             {"pause_ms",
              to_milliseconds(suspects.time_until_trial(one.request, now))}});
    return {relay::status_ok, "application/json", out.dump() + "\n"};
}

relay::small_answer release(shared_state& state, std::string_view digest)
{
    const base::instant now = state.clock();
    quarantine::suspect_table& suspects = state.scheduler.crash_suspects();
    for (const quarantine::quarantine_state_change& one :
         suspects.list_quarantined(now)) {
        if (base::to_hex(one.request) != digest)
            continue;
        for (const quarantine::quarantine_state_change& change :
             suspects.clear_suspicion(one.request, now))
            log_crash_suspect(state, change, "operator");
        return {relay::status_ok, "text/plain", "released\n"};
    }
    return {not_found, "text/plain", "nothing of that digest is quarantined\n"};
}

} // namespace

bool is_quarantine_request(const relay::small_question& request)
{
    return request.target == list_target ||
           request.target.starts_with(release_target);
}

relay::small_answer
answer_quarantine_request(shared_state& state,
                          const relay::small_question& request)
{
    if (request.target == list_target)
        return list(state);
    if (request.method != "POST")
        return {wrong_method, "text/plain", "use POST to release a request\n"};
    return release(state, request.target.substr(release_target.size()));
}

} // namespace greengagedrum::entry
