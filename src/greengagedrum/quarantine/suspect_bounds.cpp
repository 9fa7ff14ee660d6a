// The bounds of the table of suspects: how many records it keeps for each
// workspace, which it evicts, and for how long it keeps them.
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>
#include <iterator>

namespace greengagedrum::quarantine
{

namespace
{

constexpr std::size_t max_records = 2048;
constexpr std::size_t max_records_per_workspace = max_records / 4;

// Records are dropped this long after their last crash or change.
constexpr base::duration suspect_retention = std::chrono::minutes(10);
constexpr base::duration quarantine_retention = std::chrono::hours(48);
constexpr base::duration cleanup_interval = std::chrono::seconds(1);

} // namespace

// In a full table, reports of single crashes would only evict each other again
// and again.
bool suspect_table::may_record(const suspect_report& received) const
{
    if (received.crashes.size() >= quarantine_threshold ||
        this->records.contains(received.request))
        return true;
    const auto count = this->record_counts.find(received.workspace);
    return this->records.size() < max_records &&
           (count == this->record_counts.end() ||
            count->second < max_records_per_workspace);
}

suspect_table::request_record&
suspect_table::find_or_add(const base::request_digest& request,
                           base::workspace_id workspace,
                           suspect_kind kind)
{
    const auto found = this->records.find(request);
    if (found != this->records.end())
        return found->second;
    this->make_room(workspace);
    this->record_counts[workspace] += 1;
    return this->records
        .emplace(request,
                 request_record{crash_record(workspace, kind),
                                base::instant(),
                                blame::open,
                                base::instant(),
                                0})
        .first->second;
}

void suspect_table::make_room(base::workspace_id workspace)
{
    const auto count = this->record_counts.find(workspace);
    if (count != this->record_counts.end() &&
        count->second >= max_records_per_workspace)
        return this->evict_least_suspect(workspace);
    if (this->records.size() < max_records)
        return;
    const auto largest =
        std::max_element(this->record_counts.begin(),
                         this->record_counts.end(),
                         [](const auto& left, const auto& right) {
                             return left.second < right.second;
                         });
    this->evict_least_suspect(largest->first);
}

// Evicts the workspace's record with the fewest crashes; of several, the one
// whose last crash is the oldest.
void suspect_table::evict_least_suspect(base::workspace_id workspace)
{
    auto least = this->records.end();
    const auto rank = [](const request_record& record) {
        return std::pair(record.crashes.crash_count(),
                         record.crashes.last_crash());
    };
    for (auto candidate = this->records.begin();
         candidate != this->records.end();
         ++candidate) {
        if (candidate->second.crashes.workspace() == workspace &&
            (least == this->records.end() ||
             rank(candidate->second) < rank(least->second)))
            least = candidate;
    }
    if (least != this->records.end())
        this->erase(least);
}

void suspect_table::erase(record_map::iterator record)
{
    const auto owner =
        this->record_counts.find(record->second.crashes.workspace());
    if (--owner->second == 0)
        this->record_counts.erase(owner);
    this->records.erase(record);
}

void suspect_table::remove_expired(base::instant now)
{
    if (now < this->cleaned_up_at + cleanup_interval)
        return;
    this->cleaned_up_at = now;
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        const auto next = std::next(entry);
        const request_record& record = entry->second;
        const base::duration idle =
            now - std::max(record.crashes.last_crash(), record.changed_at);
        if (idle > (record.is_quarantined() ? quarantine_retention
                                            : suspect_retention))
            this->erase(entry);
        entry = next;
    }
    const auto expired = [&](const auto& entry) {
        return now - entry.second > suspect_retention;
    };
    std::erase_if(this->presumed_gone, expired);
    std::erase_if(this->known_alive, expired);
}

} // namespace greengagedrum::quarantine
