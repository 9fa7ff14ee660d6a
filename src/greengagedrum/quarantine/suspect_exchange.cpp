// The reports of suspects that entries send to each other.
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>

namespace greengagedrum::quarantine
{

namespace
{

// A change is part of every message for this long, so that each peer gets it
// several times.
constexpr base::duration report_period = std::chrono::milliseconds(400);
constexpr std::size_t max_recent_reports = 16;
// Of these, how many are kept for records without a crash that counts.
constexpr std::size_t acquittal_reports = 4;
constexpr std::size_t quarantined_per_round = 8;
constexpr std::size_t others_per_round = 4;

// Sizes in a message. A page fits a packet together with the other fields.
constexpr std::size_t page_bytes = 1000;
constexpr std::size_t record_bytes = 33;
constexpr std::size_t crash_bytes = 12;

} // namespace

std::vector<suspect_report>
suspect_table::collect_reports(base::instant now, bool include_unchanged)
{
    std::vector<suspect_report> out;
    this->add_recent(now, out);
    if (!include_unchanged)
        return out;
    this->add_round_robin(
        now, true, quarantined_per_round, this->last_reported_quarantined, out);
    this->add_round_robin(
        now, false, others_per_round, this->last_reported_other, out);
    return out;
}

// Those with the most crashes first: a crash changes the records of all parts
// that were there, and a message has room for a few. Acquittals have room of
// their own, since without them peers would refuse sound requests.
void suspect_table::add_recent(base::instant now,
                               std::vector<suspect_report>& out) const
{
    using entry = const record_map::value_type*;
    std::vector<std::pair<std::size_t, entry>> crashed;
    std::vector<entry> acquitted;
    for (const auto& one : this->records) {
        if (now - one.second.changed_at >= report_period)
            continue;
        const std::size_t crashes = one.second.crashes.crash_count();
        if (crashes > 0)
            crashed.emplace_back(crashes, &one);
        else
            acquitted.push_back(&one);
    }
    std::stable_sort(crashed.begin(),
                     crashed.end(),
                     [](const auto& left, const auto& right) {
                         return left.first > right.first;
                     });
    crashed.resize(std::min(crashed.size(),
                            max_recent_reports -
                                std::min(acquitted.size(), acquittal_reports)));
    for (const auto& [crashes, one] : crashed)
        out.push_back(one->second.crashes.make_report(one->first, now));
    if (acquitted.empty())
        return;
    // Starts elsewhere in each message, so that all have their turn.
    const std::uint64_t first =
        placement::mix(
            this->salt,
            static_cast<std::uint64_t>(now.time_since_epoch().count())) %
        acquitted.size();
    const std::size_t room =
        std::min(max_recent_reports - crashed.size(), acquitted.size());
    for (std::size_t at = 0; at < room; ++at) {
        const entry one = acquitted[(first + at) % acquitted.size()];
        out.push_back(one->second.crashes.make_report(one->first, now));
    }
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
        if (recent || record.is_quarantined() != quarantined_only ||
            record.crashes.crash_count() == 0)
            continue;
        out.push_back(record.crashes.make_report(next->first, now));
        last = next->first;
        limit -= 1;
    }
}

std::vector<suspect_report>
suspect_table::collect_page(const base::request_digest& after,
                            base::instant now,
                            suspect_page& page) const
{
    std::vector<suspect_report> out;
    page.after = after;
    page.last = after;
    std::size_t bytes = 0;
    for (auto next = this->records.upper_bound(after);
         next != this->records.end();
         ++next) {
        if (next->second.crashes.crash_count() == 0)
            continue;
        suspect_report report =
            next->second.crashes.make_report(next->first, now);
        bytes += record_bytes + crash_bytes * report.crashes.size();
        if (bytes > page_bytes)
            return out;
        page.last = next->first;
        out.push_back(std::move(report));
    }
    page.complete = true;
    return out;
}

suspect_table::changes
suspect_table::merge(std::span<const suspect_report> received,
                     base::instant now)
{
    changes out;
    bool parts_changed = false;
    for (const suspect_report& report : received) {
        if (!this->may_record(report))
            continue;
        request_record& record =
            this->find_or_add(report.request, report.workspace, report.kind);
        const quarantine_state before =
            this->state_of(report.request, record, now);
        const merge_result merged = this->merge_report(record, report, now);
        if (merged.changed || merged.repeat)
            record.changed_at = now;
        parts_changed = parts_changed ||
                        (merged.changed &&
                         record.crashes.kind() == suspect_kind::prompt_part);
        this->append_if_changed(report.request, record, before, now, out);
    }
    if (parts_changed)
        this->update_blame(now, out);
    return out;
}

suspect_table::merge_result suspect_table::merge_report(
    request_record& record, const suspect_report& received, base::instant now)
{
    bool changed = record.crashes.merge_kind(received.kind);
    changed = record.crashes.merge_times(received, now) || changed;
    for (const reported_crash& crash : received.crashes) {
        const base::instant at = now - crash.age;
        const auto alive = this->known_alive.find(crash.upstream);
        if (alive != this->known_alive.end() &&
            at <= alive->second + age_tolerance)
            continue;
        if (!record.crashes.add(crash.upstream, at, true))
            continue;
        this->presumed_gone.try_emplace(crash.upstream, at);
        changed = true;
    }
    const auto answered = this->answers.last_answer(received.request);
    if (answered && record.crashes.record_answer(*answered))
        changed = true;
    return {changed, record.crashes.rules_out_crash_of(received, now)};
}

} // namespace greengagedrum::quarantine
