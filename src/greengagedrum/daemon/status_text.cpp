#include <greengagedrum/daemon/status_text.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/telemetry/status_json.hpp>

#include <nlohmann/json.hpp>

namespace greengagedrum::daemon
{

namespace
{

using nlohmann::json;

constexpr int indent = 2;

json refusals_json(const std::vector<config::refusal>& refusals)
{
    json list = json::array();
    for (const config::refusal& one : refusals) {
        json faults = json::array();
        for (const config::fault& fault : one.faults)
            faults.push_back(config::to_text(fault));
        list.push_back({{"document", one.document},
                        {"revision", one.revision},
                        {"workspace", one.workspace},
                        {"faults", std::move(faults)}});
    }
    return list;
}

json texts_json(const config::fault_list& faults)
{
    json list = json::array();
    for (const config::fault& fault : faults)
        list.push_back(config::to_text(fault));
    return list;
}

// In ms; null when it never was.
json age_json(const std::optional<base::duration>& age)
{
    if (!age)
        return nullptr;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

const char* text_of(base::platform_reachability contact)
{
    switch (contact) {
    case base::platform_reachability::unknown:
        return "unknown";
    case base::platform_reachability::reachable:
        return "heard";
    case base::platform_reachability::unreachable:
        return "lost";
    }
    return "";
}

json spread_json(const document_status& spread)
{
    return {{"watching", spread.watching},
            {"service", text_of(spread.contact)},
            {"service_age_ms", age_json(spread.ages.service)},
            {"peers_age_ms", age_json(spread.ages.peers)},
            {"confirmed_age_ms", age_json(spread.ages.confirmed)},
            {"service_calls", spread.counters.service_calls},
            {"service_failures", spread.counters.service_failures},
            {"service_older", spread.counters.service_older},
            {"service_held", spread.counters.service_held},
            {"peer_asks", spread.counters.peer_asks},
            {"peer_failures", spread.counters.peer_failures}};
}

std::string_view to_string(placement::suspicion cause)
{
    switch (cause) {
    case placement::suspicion::none:
        return "none";
    case placement::suspicion::slow:
        return "slow";
    case placement::suspicion::silent:
        return "silent";
    case placement::suspicion::refused:
        return "refused";
    }
    return "unknown";
}

std::string_view to_string(membership::peer_state state)
{
    switch (state) {
    case membership::peer_state::never_heard:
        return "unheard";
    case membership::peer_state::alive:
        return "alive";
    case membership::peer_state::suspect:
        return "suspect";
    case membership::peer_state::leaving:
        return "leaving";
    case membership::peer_state::gone:
        return "gone";
    }
    return "unknown";
}

// Peers know each other by hashes; the fleet has the names.
std::string slot_name(const config::snapshot_ptr& in_force, base::slot_id slot)
{
    if (in_force != nullptr)
        for (const config::data_centre& centre : in_force->fleet.data_centres)
            for (const config::entry_slot& one : centre.slots)
                if (one.id == slot)
                    return one.name;
    return "#" + std::to_string(slot.value);
}

json peers_json(const status_facts& facts)
{
    json list = json::array();
    for (const membership::peer_view& one : facts.peers.peers)
        list.push_back({{"name", slot_name(facts.in_force, one.slot)},
                        {"state", to_string(one.state)},
                        {"listed", one.listed},
                        {"linked", one.linked},
                        {"incarnation", one.incarnation.value},
                        {"config_revision", one.config_revision},
                        {"list_revision", one.list_revision}});
    return list;
}

json upstreams_json(const decision_status& core)
{
    json list = json::array();
    if (core.upstreams == nullptr)
        return list;
    for (const placement::upstream_view& one : *core.upstreams)
        list.push_back({{"name", one.name},
                        {"listed", one.listed},
                        {"in_flight", one.in_flight},
                        {"allowance", one.allowance},
                        {"others", one.others},
                        {"suspected", to_string(one.suspected)}});
    return list;
}

} // namespace

std::string status_text(const status_facts& facts,
                        const telemetry::registry& measured)
{
    const delivery::scheduler_counters& count = facts.core.counters;
    const json out = {{"instance", facts.instance},
                      {"data_centre", facts.data_centre},
                      {"incarnation", facts.life.value},
                      {"ready", facts.ready},
                      {"stopping", facts.stopping},
                      {"config_revision", facts.config_revision},
                      {"in_force_revision", facts.in_force_revision},
                      {"list_revision", facts.core.list_revision},
                      {"refused", refusals_json(facts.refusals)},
                      {"warnings", texts_json(facts.warnings)},
                      {"config_age_ms", age_json(facts.spread.ages.confirmed)},
                      {"spread", spread_json(facts.spread)},
                      {"log_level", logs::to_string(logs::current_level())},
                      {"in_flight", facts.core.in_flight},
                      {"waiting", facts.core.waiting},
                      {"arrived", count.arrived},
                      {"dispatched", count.dispatched},
                      {"answered", count.answered},
                      {"not_run", count.not_run},
                      {"may_have_run", count.may_have_run},
                      {"resumed", count.resumed},
                      {"retried", count.retried},
                      {"platform_calls", facts.platform_calls},
                      {"upstreams", upstreams_json(facts.core)},
                      {"peers", peers_json(facts)},
                      {"strangers_refused", facts.peers.strangers_refused},
                      {"superseded", facts.superseded},
                      {"metrics", telemetry::to_json(measured)}};
    return out.dump(indent, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace greengagedrum::daemon
