#include <greengagedrum/versions/record_table.hpp>
#include <greengagedrum/versions/version_history.hpp>

namespace greengagedrum::versions
{

void version_history::set_present(std::span<const service_version> present,
                                  bool complete,
                                  base::instant now)
{
    for (auto& [seen, sighting] : this->sightings) {
        if (sighting.present)
            sighting.last_seen_at = now;
        sighting.present = false;
    }
    for (const service_version& one : present)
        this->sightings[one].present = true;
    std::erase_if(this->sightings, [now](const auto& one) {
        return !one.second.present &&
               now - one.second.last_seen_at >= record_lifetime;
    });
    if (!complete)
        this->complete_since.reset();
    else if (!this->complete_since)
        this->complete_since = now;
}

void version_history::add_seen(const service_version& seen, base::instant now)
{
    this->sightings[seen].last_seen_at = now;
}

finding version_history::seen(base::upstream_class_id service,
                              base::instant now) const
{
    const finding out = this->seen_so_far(service, now);
    const bool complete =
        this->complete_since && now - *this->complete_since >= record_lifetime;
    if (std::holds_alternative<single_version>(out) && !complete)
        return unknown_version{};
    return out;
}

finding version_history::seen_so_far(base::upstream_class_id service,
                                     base::instant now) const
{
    std::optional<base::version_id> only;
    const service_version first{service, base::version_id()};
    for (auto at = this->sightings.lower_bound(first);
         at != this->sightings.end() && at->first.first == service;
         ++at) {
        const sighting& one = at->second;
        if (!one.present && now - one.last_seen_at >= record_lifetime)
            continue;
        if (only)
            return several_versions{};
        only = at->first.second;
    }
    if (!only || only->empty())
        return unknown_version{};
    return single_version{*only};
}

} // namespace greengagedrum::versions
