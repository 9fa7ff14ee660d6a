#include <greengagedrum/ctl/explanation.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace greengagedrum::ctl
{

namespace
{

using nlohmann::json;

bool may_hold(const config::upstream_entry& upstream, const std::string& model)
{
    return model.empty() ||
           std::find(upstream.models.begin(), upstream.models.end(), model) !=
               upstream.models.end();
}

centre_candidates look_in(const config::fleet& fleet,
                          const config::data_centre& centre,
                          const config::kind_rules& kind)
{
    centre_candidates out;
    out.name = centre.name;
    for (const config::upstream_entry& upstream : fleet.upstreams) {
        if (upstream.data_centre != centre.id ||
            upstream.upstream_class != kind.upstream_class)
            continue;
        if (may_hold(upstream, kind.model))
            out.candidates.push_back({upstream, std::nullopt});
        else
            out.without_model.push_back(upstream.name);
    }
    return out;
}

seen_upstream seen_from(const json& shown)
{
    seen_upstream out;
    out.listed = shown.value("listed", false);
    out.in_flight = shown.value("in_flight", 0U);
    out.allowance = shown.value("allowance", 0U);
    out.others = shown.value("others", 0.0);
    out.suspected = shown.value("suspected", "none");
    return out;
}

void note_seen(explanation& to, const std::string& name, const json& shown)
{
    for (centre_candidates& centre : to.centres)
        for (candidate& one : centre.candidates)
            if (one.entry.name == name)
                one.seen = seen_from(shown);
}

} // namespace

explanation explain(const config::fleet& fleet,
                    const config::workspace_rules& workspace,
                    const config::kind_rules& kind)
{
    explanation out{workspace.name, kind, {}, {}};
    for (const config::data_centre& centre : fleet.data_centres) {
        out.centres.push_back(look_in(fleet, centre, kind));
        out.centres.back().home = centre.id == workspace.home;
    }
    return out;
}

bool add_seen(explanation& to, const json& status)
{
    try {
        to.seen_by = status.at("instance").get<std::string>();
        for (const json& shown : status.at("upstreams"))
            note_seen(to, shown.at("name").get<std::string>(), shown);
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

} // namespace greengagedrum::ctl
