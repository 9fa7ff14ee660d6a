#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>
#include <iterator>

namespace greengagedrum::quarantine
{

namespace
{

// Bytes that an upstream wrote before it ended may be read up to this much
// later.
constexpr base::duration late_read_margin = std::chrono::milliseconds(100);

// Records are dropped this long after their last crash or change.
constexpr base::duration suspect_retention = std::chrono::minutes(10);
constexpr base::duration quarantine_retention = std::chrono::hours(48);
constexpr base::duration cleanup_interval = std::chrono::seconds(1);

constexpr std::size_t max_records = 2048;
constexpr std::size_t max_records_per_workspace = max_records / 4;

// A change is part of every message for this long, so that each peer gets it
// several times.
constexpr base::duration report_period = std::chrono::milliseconds(400);
constexpr std::size_t max_recent_reports = 16;
constexpr std::size_t quarantined_per_round = 8;
constexpr std::size_t others_per_round = 4;

} // namespace

// Spreads the trials of the entries over time: each entry has its own jitter
// for a request.
double suspect_table::trial_jitter(const base::request_digest& request) const
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(placement::mix(this->salt, request.low) %
                               steps) /
           static_cast<double>(steps);
}

quarantine_state suspect_table::state_of(const base::request_digest& request,
                                         base::instant now) const
{
    const auto found = this->records.find(request);
    return found == this->records.end() ? quarantine_state::clear
                                        : found->second.crashes.state_at(
                                              now, this->trial_jitter(request));
}

base::duration
suspect_table::time_until_trial(const base::request_digest& request,
                                base::instant now) const
{
    constexpr base::duration least = std::chrono::seconds(1);
    if (this->state_of(request, now) != quarantine_state::quarantined)
        return base::duration(0);
    const crash_record& crashes = this->records.at(request).crashes;
    return std::max(crashes.trial_due_at(this->trial_jitter(request)) - now,
                    least);
}

void suspect_table::append_if_changed(const base::request_digest& request,
                                      const request_record& record,
                                      quarantine_state before,
                                      base::instant now,
                                      changes& out) const
{
    const quarantine_state after =
        record.crashes.state_at(now, this->trial_jitter(request));
    if (after != before)
        out.push_back({request,
                       record.crashes.workspace(),
                       after,
                       record.crashes.crash_count()});
}

suspect_table::changes
suspect_table::on_crash(const base::request_digest& request,
                        base::workspace_id workspace,
                        base::upstream_id upstream,
                        base::instant now)
{
    changes out;
    const auto answered = this->answers.last_answer(request);
    if (answered && now <= *answered + answer_validity)
        return out;
    request_record& record = this->find_or_add(request, workspace);
    const quarantine_state before = this->state_of(request, now);
    if (record.crashes.add(upstream, now, false))
        record.changed_at = now;
    this->presumed_gone[upstream] = now;
    this->append_if_changed(request, record, before, now, out);
    return out;
}

suspect_table::changes
suspect_table::clear_suspicion(const base::request_digest& request,
                               base::instant now)
{
    changes out;
    this->answers.add(request, now);
    const auto found = this->records.find(request);
    if (found == this->records.end())
        return out;
    request_record& record = found->second;
    const quarantine_state before = this->state_of(request, now);
    record.crashes.record_answer(now);
    if (before != quarantine_state::clear)
        record.changed_at = now;
    this->append_if_changed(request, record, before, now, out);
    return out;
}

void suspect_table::on_sent(const base::request_digest& request,
                            base::instant now)
{
    if (this->state_of(request, now) != quarantine_state::trial_due)
        return;
    request_record& record = this->records.at(request);
    record.crashes.record_trial(now);
    record.changed_at = now;
}

template <class Change>
suspect_table::changes suspect_table::change_all(base::instant now,
                                                 const Change& apply)
{
    changes out;
    for (auto& [request, record] : this->records) {
        const quarantine_state before = this->state_of(request, now);
        if (apply(record.crashes))
            record.changed_at = now;
        this->append_if_changed(request, record, before, now, out);
    }
    return out;
}

suspect_table::changes
suspect_table::on_upstream_answered(base::upstream_id upstream,
                                    base::instant now)
{
    const auto gone = this->presumed_gone.find(upstream);
    if (gone == this->presumed_gone.end() ||
        now < gone->second + late_read_margin)
        return {};
    return this->on_upstream_reachable(upstream, now);
}

// The connections were reset, but the upstream is alive.
suspect_table::changes
suspect_table::on_upstream_reachable(base::upstream_id upstream,
                                     base::instant now)
{
    this->presumed_gone.erase(upstream);
    this->known_alive[upstream] = now;
    return this->change_all(
        now, [&](crash_record& crashes) { return crashes.remove(upstream); });
}

suspect_table::changes
suspect_table::on_upstream_gone(base::upstream_id upstream, base::instant now)
{
    return this->change_all(
        now, [&](crash_record& crashes) { return crashes.confirm(upstream); });
}

std::vector<suspect_report>
suspect_table::collect_reports(base::instant now, bool include_unchanged)
{
    std::vector<suspect_report> out;
    for (const auto& [request, record] : this->records) {
        if (out.size() < max_recent_reports &&
            now - record.changed_at < report_period)
            out.push_back(record.crashes.make_report(request, now));
    }
    if (!include_unchanged)
        return out;
    this->add_round_robin(
        now, true, quarantined_per_round, this->last_reported_quarantined, out);
    this->add_round_robin(
        now, false, others_per_round, this->last_reported_other, out);
    return out;
}

void suspect_table::add_round_robin(base::instant now,
                                    bool quarantined_only,
                                    std::size_t limit,
                                    base::request_digest& last,
                                    std::vector<suspect_report>& out) const
{
    auto next = this->records.upper_bound(last);
    for (std::size_t seen = 0; seen < this->records.size() && limit > 0;
         ++seen, ++next) {
        if (next == this->records.end())
            next = this->records.begin();
        const request_record& record = next->second;
        const bool recent = now - record.changed_at < report_period;
        const bool is_quarantined =
            record.crashes.crash_count() >= quarantine_threshold;
        if (recent || is_quarantined != quarantined_only)
            continue;
        out.push_back(record.crashes.make_report(next->first, now));
        last = next->first;
        limit -= 1;
    }
}

suspect_table::changes
suspect_table::merge(std::span<const suspect_report> received,
                     base::instant now)
{
    changes out;
    for (const suspect_report& report : received) {
        if (!this->may_record(report))
            continue;
        request_record& record =
            this->find_or_add(report.request, report.workspace);
        const quarantine_state before = this->state_of(report.request, now);
        if (this->merge_report(record, report, now))
            record.changed_at = now;
        this->append_if_changed(report.request, record, before, now, out);
    }
    return out;
}

bool suspect_table::merge_report(request_record& record,
                                 const suspect_report& received,
                                 base::instant now)
{
    bool changed = record.crashes.merge_times(received, now);
    for (const reported_crash& crash : received.crashes) {
        if (this->known_alive.contains(crash.upstream))
            continue;
        if (!record.crashes.add(crash.upstream, now - crash.age, true))
            continue;
        this->presumed_gone.try_emplace(crash.upstream, now - crash.age);
        changed = true;
    }
    const auto answered = this->answers.last_answer(received.request);
    if (answered && record.crashes.record_answer(*answered))
        changed = true;
    return changed;
}

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
                           base::workspace_id workspace)
{
    const auto found = this->records.find(request);
    if (found != this->records.end())
        return found->second;
    this->make_room(workspace);
    this->record_counts[workspace] += 1;
    return this->records
        .emplace(request,
                 request_record{crash_record(workspace), base::instant()})
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
        const bool is_quarantined =
            record.crashes.crash_count() >= quarantine_threshold;
        if (idle > (is_quarantined ? quarantine_retention : suspect_retention))
            this->erase(entry);
        entry = next;
    }
    const auto expired = [&](const auto& entry) {
        return now - entry.second > suspect_retention;
    };
    std::erase_if(this->presumed_gone, expired);
    std::erase_if(this->known_alive, expired);
}

suspect_table::changes suspect_table::list_quarantined(base::instant now) const
{
    changes out;
    for (const auto& [request, record] : this->records) {
        const std::size_t crashes = record.crashes.crash_count();
        if (crashes >= quarantine_threshold)
            out.push_back({request,
                           record.crashes.workspace(),
                           this->state_of(request, now),
                           crashes});
    }
    return out;
}

} // namespace greengagedrum::quarantine
