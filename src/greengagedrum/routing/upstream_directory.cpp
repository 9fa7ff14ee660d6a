#include <greengagedrum/routing/upstream_directory.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::routing
{

std::optional<base::upstream_id>
upstream_directory::latest_incarnation(std::string_view name) const
{
    const auto found = this->records.find(std::string(name));
    if (found == this->records.end() || found->second.published.id.empty())
        return std::nullopt;
    return found->second.published.id;
}

const upstream_directory::upstream_record*
upstream_directory::find_incarnation(base::upstream_id id) const
{
    const auto name = this->names_by_id.find(id);
    return name == this->names_by_id.end() ? nullptr
                                           : &this->records.at(name->second);
}

bool upstream_directory::is_alive(const upstream_record& record)
{
    if (record.removed)
        return false;
    const published_upstream* counted = record.incarnations.counted();
    return counted != nullptr && counted->id == record.published.id &&
           !record.incarnations.has_announced_leaving(counted->id);
}

bool upstream_directory::is_usable(const upstream_record& record) const
{
    return is_alive(record) &&
           !this->evacuated_data_centres.contains(record.published.data_centre);
}

// The result does not depend on the order of updates and removals: of the
// incarnation that counts, the highest revision counts, if it is above the
// revision of every removal.
void upstream_directory::apply(upstream_record& record,
                               const published_upstream& report)
{
    record.incarnations.add(report);
    const published_upstream& counted = *record.incarnations.counted();
    const bool same_incarnation = record.published.id == counted.id;
    if (counted.revision <= record.removal_revision ||
        (same_incarnation && counted.revision <= record.published.revision))
        return;
    this->names_by_id.erase(record.published.id);
    this->names_by_id[counted.id] = counted.name;
    record.published = counted;
    record.removed = false;
    record.expires_at.reset();
}

upstream_change upstream_directory::update(const published_upstream& published)
{
    upstream_record& record = this->records[published.name];
    const bool was_usable = this->is_usable(record);
    const published_upstream previous = record.published;
    this->apply(record, published);
    const bool is_usable = this->is_usable(record);
    if (was_usable != is_usable)
        return is_usable ? upstream_change::joined : upstream_change::left;
    if (!is_usable)
        return upstream_change::none;
    if (previous.id != record.published.id)
        return upstream_change::restarted;
    const bool updated = previous.address != record.published.address ||
                         previous.slots != record.published.slots ||
                         previous.service != record.published.service ||
                         previous.data_centre != record.published.data_centre ||
                         previous.version != record.published.version ||
                         (published.id == record.published.id &&
                          published.revision == record.published.revision &&
                          previous.warmup != record.published.warmup);
    return updated ? upstream_change::updated : upstream_change::none;
}

// A removal of an unknown upstream is recorded too, so that an older update
// from a peer does not add it.
upstream_change
upstream_directory::remove(std::string_view name,
                           std::uint64_t revision,
                           std::optional<base::instant> keep_until)
{
    upstream_record& record = this->records[std::string(name)];
    record.removal_revision = std::max(record.removal_revision, revision);
    if (record.removed || record.published.revision > revision)
        return upstream_change::none;
    const bool was_usable = this->is_usable(record);
    if (keep_until && is_alive(record)) {
        record.expires_at = keep_until;
        this->any_may_expire = true;
        return upstream_change::none;
    }
    record.removed = true;
    return was_usable ? upstream_change::left : upstream_change::none;
}

upstream_change upstream_directory::mark_misdirected(base::upstream_id id)
{
    const auto name = this->names_by_id.find(id);
    if (name == this->names_by_id.end())
        return upstream_change::none;
    upstream_record& record = this->records.at(name->second);
    if (!is_alive(record))
        return upstream_change::none;
    const bool was_usable = this->is_usable(record);
    record.removed = true;
    return was_usable ? upstream_change::left : upstream_change::none;
}

void upstream_directory::remove_expired(base::instant now,
                                        std::vector<std::string>& removed_names)
{
    if (!this->any_may_expire)
        return;
    this->any_may_expire = false;
    for (auto& [name, record] : this->records) {
        this->any_may_expire = this->any_may_expire ||
                               (record.expires_at && *record.expires_at > now);
        if (!record.expires_at || *record.expires_at > now)
            continue;
        record.expires_at.reset();
        record.removed = true;
        removed_names.push_back(name);
    }
}

const published_upstream*
upstream_directory::find_usable(base::upstream_id id) const
{
    const upstream_record* record = this->find_incarnation(id);
    return record != nullptr && this->is_usable(*record) ? &record->published
                                                         : nullptr;
}

const published_upstream*
upstream_directory::find_alive(base::upstream_id id) const
{
    const upstream_record* record = this->find_incarnation(id);
    return record != nullptr && is_alive(*record) ? &record->published
                                                  : nullptr;
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
    for (const auto& [name, record] : this->records) {
        if (record.published.data_centre == data_centre && is_alive(record))
            out.push_back(record.published);
    }
    return out;
}

void upstream_directory::for_each_usable(
    const std::function<void(const published_upstream&)>& visit) const
{
    for (const auto& [name, record] : this->records) {
        if (this->is_usable(record))
            visit(record.published);
    }
}

std::size_t upstream_directory::usable_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->records.begin(), this->records.end(), [this](const auto& one) {
            return this->is_usable(one.second);
        }));
}

} // namespace greengagedrum::routing
