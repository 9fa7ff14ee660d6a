#include <greengagedrum/routing/upstream_directory.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::routing
{

base::upstream_id incarnation_id(std::string_view name,
                                 std::optional<std::uint64_t> started_unix_ms)
{
    if (!started_unix_ms)
        return base::upstream_id(name);
    return base::upstream_id(std::string(name) + '#' +
                             std::to_string(*started_unix_ms));
}

std::optional<base::upstream_id>
upstream_directory::latest_incarnation(std::string_view name) const
{
    const auto found = this->states.find(std::string(name));
    if (found == this->states.end() || found->second.entry.id.empty())
        return std::nullopt;
    return found->second.entry.id;
}

const upstream_directory::state*
upstream_directory::find_incarnation(base::upstream_id id) const
{
    const auto name = this->names.find(id);
    return name == this->names.end() ? nullptr : &this->states.at(name->second);
}

bool upstream_directory::alive(const state& of)
{
    const bool older_life =
        of.newest_start && of.entry.started_unix_ms < of.newest_start;
    return !of.gone && !older_life && of.leaving_incarnation != of.entry.id;
}

bool upstream_directory::usable(const state& of) const
{
    return alive(of) &&
           !this->evacuated_data_centres.contains(of.entry.data_centre);
}

// Nothing here depends on the order in which entries and removals come: of the
// newest life the highest revision counts, if it is above that of any removal.
//
// Failures guarded against: a report of an older life, or one from before a
// life said that it leaves, is written late and has the highest revision.
void upstream_directory::note(state& own, const published_upstream& entry)
{
    own.newest_start = std::max(own.newest_start, entry.started_unix_ms);
    if (entry.started_unix_ms < own.newest_start)
        return;
    if (entry.leaving)
        own.leaving_incarnation = entry.id;
    const bool same_life = own.entry.id == entry.id;
    if (entry.revision <= own.removed_at ||
        (same_life && entry.revision <= own.entry.revision))
        return;
    this->names.erase(own.entry.id);
    this->names[entry.id] = entry.name;
    own.entry = entry;
    own.gone = false;
    own.lapses_at.reset();
}

upstream_change upstream_directory::update(const published_upstream& entry)
{
    state& own = this->states[entry.name];
    const bool was_usable = this->usable(own);
    const published_upstream before = own.entry;
    this->note(own, entry);
    const bool is_usable = this->usable(own);
    if (was_usable != is_usable)
        return is_usable ? upstream_change::joined : upstream_change::left;
    if (!is_usable)
        return upstream_change::none;
    if (before.id != own.entry.id)
        return upstream_change::restarted;
    const bool moved =
        before.address != own.entry.address ||
        before.slots != own.entry.slots ||
        before.service != own.entry.service ||
        (entry.id == own.entry.id && entry.revision == own.entry.revision &&
         before.warmup != own.entry.warmup);
    return moved ? upstream_change::updated : upstream_change::none;
}

// Remembered also of an unknown one, so that older news of it from a peer finds
// it gone.
upstream_change
upstream_directory::remove(std::string_view name,
                           std::uint64_t revision,
                           std::optional<base::instant> lapse_bound)
{
    state& own = this->states[std::string(name)];
    own.removed_at = std::max(own.removed_at, revision);
    if (own.gone || own.entry.revision > revision)
        return upstream_change::none;
    const bool was_usable = this->usable(own);
    if (lapse_bound && alive(own)) {
        own.lapses_at = lapse_bound;
        this->may_lapse = true;
        return upstream_change::none;
    }
    own.gone = true;
    return was_usable ? upstream_change::left : upstream_change::none;
}

upstream_change upstream_directory::mark_misdirected(base::upstream_id id)
{
    const auto name = this->names.find(id);
    if (name == this->names.end())
        return upstream_change::none;
    state& own = this->states.at(name->second);
    if (!alive(own))
        return upstream_change::none;
    const bool was_usable = this->usable(own);
    own.gone = true;
    return was_usable ? upstream_change::left : upstream_change::none;
}

void upstream_directory::remove_expired(base::instant now,
                                        std::vector<std::string>& gone)
{
    if (!this->may_lapse)
        return;
    this->may_lapse = false;
    for (auto& [name, own] : this->states) {
        this->may_lapse =
            this->may_lapse || (own.lapses_at && *own.lapses_at > now);
        if (!own.lapses_at || *own.lapses_at > now)
            continue;
        own.lapses_at.reset();
        own.gone = true;
        gone.push_back(name);
    }
}

const published_upstream*
upstream_directory::find_usable(base::upstream_id id) const
{
    const state* own = this->find_incarnation(id);
    return own != nullptr && this->usable(*own) ? &own->entry : nullptr;
}

const published_upstream*
upstream_directory::find_alive(base::upstream_id id) const
{
    const state* own = this->find_incarnation(id);
    return own != nullptr && alive(*own) ? &own->entry : nullptr;
}

std::vector<published_upstream>
upstream_directory::set_evacuated(const std::string& data_centre,
                                  bool evacuated)
{
    const bool changed =
        evacuated ? this->evacuated_data_centres.insert(data_centre).second
                  : this->evacuated_data_centres.erase(data_centre) > 0;
    std::vector<published_upstream> out;
    if (!changed)
        return out;
    for (const auto& [name, own] : this->states) {
        if (own.entry.data_centre == data_centre && alive(own))
            out.push_back(own.entry);
    }
    return out;
}

void upstream_directory::for_each_usable(
    const std::function<void(const published_upstream&)>& take) const
{
    for (const auto& [name, own] : this->states) {
        if (this->usable(own))
            take(own.entry);
    }
}

std::size_t upstream_directory::usable_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->states.begin(), this->states.end(), [this](const auto& one) {
            return this->usable(one.second);
        }));
}

} // namespace greengagedrum::routing
