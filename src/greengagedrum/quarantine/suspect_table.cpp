#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/quarantine/suspect_table.hpp>

#include <algorithm>

namespace greengagedrum::quarantine
{

namespace
{

// Bytes that an upstream wrote before it ended may be read up to this much
// later.
constexpr base::duration late_read_margin = std::chrono::milliseconds(100);

// A blamed part is held for this long before requests with it are refused, so
// that peers can report answers that clear it.
constexpr base::duration confirmation_time = std::chrono::milliseconds(300);

// Crashes at which a part is blamed; more where it was answered shortly before,
// since it is then likely to be sound.
constexpr std::size_t part_threshold = 2;
constexpr std::size_t answered_part_threshold = 3;

std::size_t threshold_of(const crash_record& part)
{
    return part.was_answered_before() ? answered_part_threshold
                                      : part_threshold;
}

// The shortest time until a trial that callers are told.
constexpr base::duration least_time_until_trial = std::chrono::seconds(1);

// No more crashes than its threshold are weak evidence against a part, and so
// are more, if all but one of them could be explained by other parts.
constexpr trial_schedule weak_evidence_trials{
    std::chrono::seconds(2), std::chrono::seconds(2), std::chrono::seconds(5)};
// A part that others explain as well is as likely to be sound, however often
// they came together. Its trial tells them apart.
constexpr trial_schedule ambiguous_trials{
    std::chrono::seconds(1), std::chrono::seconds(1), std::chrono::seconds(5)};

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

bool suspect_table::request_record::is_quarantined() const
{
    if (this->crashes.kind() == suspect_kind::request)
        return this->crashes.crash_count() >= quarantine_threshold;
    return this->verdict == blame::sole || this->verdict == blame::ambiguous;
}

trial_schedule suspect_table::schedule_of(const request_record& record)
{
    if (record.crashes.kind() == suspect_kind::request)
        return {};
    if (record.verdict == blame::ambiguous)
        return ambiguous_trials;
    const bool weak =
        record.crashes.crash_count() <= threshold_of(record.crashes) ||
        record.own_crashes < part_threshold;
    return weak ? weak_evidence_trials : trial_schedule();
}

quarantine_state suspect_table::state_of(const base::request_digest& digest,
                                         const request_record& record,
                                         base::instant now) const
{
    if (record.crashes.kind() == suspect_kind::request)
        return record.crashes.state_at(now, this->trial_jitter(digest));
    if (!record.is_quarantined()) {
        // Serializing a part that is likely to be sound would only delay it.
        const bool suspected = record.verdict == blame::open &&
                               record.crashes.crash_count() > 0 &&
                               !record.crashes.was_answered_before();
        return suspected ? quarantine_state::suspected
                         : quarantine_state::clear;
    }
    if (now < record.blamed_at + confirmation_time)
        return quarantine_state::confirming;
    return record.crashes.trial_state_at(
        now, this->trial_jitter(digest), schedule_of(record));
}

quarantine_state suspect_table::state_of(const base::request_digest& digest,
                                         base::instant now) const
{
    const auto found = this->records.find(digest);
    return found == this->records.end()
               ? quarantine_state::clear
               : this->state_of(digest, found->second, now);
}

// Whether the request has another part that could be blamed for some crashes of
// this one.
bool suspect_table::has_other_suspect(const request_features& request,
                                      const base::request_digest& part) const
{
    const std::vector<base::upstream_id> crashes =
        this->records.at(part).crashes.counted_crashes();
    const auto shares_crash = [&](base::upstream_id id) {
        return std::find(crashes.begin(), crashes.end(), id) != crashes.end();
    };
    return std::any_of(
        request.prompt_parts.begin(),
        request.prompt_parts.end(),
        [&](const base::request_digest& other) {
            const auto found = this->records.find(other);
            if (other == part || found == this->records.end())
                return false;
            const crash_record& record = found->second.crashes;
            const std::vector<base::upstream_id> its = record.counted_crashes();
            return its.size() >= threshold_of(record) &&
                   std::any_of(its.begin(), its.end(), shares_crash);
        });
}

quarantine_state suspect_table::state_of(const request_features& request,
                                         base::instant now) const
{
    quarantine_state out = this->state_of(request.request, now);
    std::size_t trials = 0;
    for (const base::request_digest& part : request.prompt_parts) {
        const quarantine_state one = this->state_of(part, now);
        out = std::max(out, one);
        if (one != quarantine_state::trial_due)
            continue;
        trials += 1;
        if (this->has_other_suspect(request, part))
            return quarantine_state::quarantined;
    }
    return trials > 1 ? quarantine_state::quarantined : out;
}

base::duration
suspect_table::time_until_trial(const base::request_digest& digest,
                                base::instant now) const
{
    const auto found = this->records.find(digest);
    if (found == this->records.end() ||
        this->state_of(digest, found->second, now) !=
            quarantine_state::quarantined)
        return base::duration(0);
    const base::instant due = found->second.crashes.trial_due_at(
        this->trial_jitter(digest), schedule_of(found->second));
    return std::max(due - now, least_time_until_trial);
}

base::duration suspect_table::time_until_trial(const request_features& request,
                                               base::instant now) const
{
    if (this->state_of(request, now) != quarantine_state::quarantined)
        return base::duration(0);
    base::duration out = std::max(this->time_until_trial(request.request, now),
                                  least_time_until_trial);
    for (const base::request_digest& part : request.prompt_parts)
        out = std::max(out, this->time_until_trial(part, now));
    return out;
}

void suspect_table::append_if_changed(const base::request_digest& request,
                                      const request_record& record,
                                      quarantine_state before,
                                      base::instant now,
                                      changes& out) const
{
    // Changes of parts are reported where they are blamed or cleared.
    if (record.crashes.kind() == suspect_kind::prompt_part)
        return;
    const quarantine_state after = this->state_of(request, record, now);
    if (after != before)
        out.push_back({request,
                       record.crashes.workspace(),
                       after,
                       record.crashes.crash_count()});
}

void suspect_table::update_blame(base::instant now, changes& out)
{
    std::vector<blame_candidate> candidates;
    std::vector<record_map::value_type*> parts;
    for (auto& entry : this->records) {
        const crash_record& crashes = entry.second.crashes;
        if (crashes.kind() != suspect_kind::prompt_part)
            continue;
        parts.push_back(&entry);
        candidates.push_back(
            {crashes.counted_crashes(), threshold_of(crashes)});
    }
    const std::vector<blame> verdicts = assign_blame(candidates);
    const std::vector<std::size_t> own_crashes = count_own_crashes(candidates);
    for (std::size_t at = 0; at < parts.size(); ++at) {
        request_record& record = parts[at]->second;
        const bool before = record.is_quarantined();
        record.verdict = verdicts[at];
        record.own_crashes = own_crashes[at];
        if (record.is_quarantined() == before)
            continue;
        record.blamed_at = now;
        out.push_back(
            {parts[at]->first,
             record.crashes.workspace(),
             before ? quarantine_state::clear : quarantine_state::quarantined,
             record.crashes.crash_count(),
             suspect_kind::prompt_part});
    }
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
    request_record& record =
        this->find_or_add(request, workspace, suspect_kind::request);
    const quarantine_state before = this->state_of(request, now);
    if (record.crashes.add(upstream, now, false))
        record.changed_at = now;
    this->presumed_gone[upstream] = now;
    this->append_if_changed(request, record, before, now, out);
    return out;
}

suspect_table::changes
suspect_table::on_crash(std::span<const base::request_digest> prompt_parts,
                        base::workspace_id workspace,
                        base::upstream_id upstream,
                        base::instant now)
{
    changes out;
    for (const base::request_digest& part : prompt_parts) {
        request_record& record =
            this->find_or_add(part, workspace, suspect_kind::prompt_part);
        record.crashes.merge_kind(suspect_kind::prompt_part);
        if (const auto answered = this->answers.last_answer(part))
            record.crashes.record_answer(*answered);
        if (record.crashes.add(upstream, now, false))
            record.changed_at = now;
        this->presumed_gone[upstream] = now;
    }
    if (!prompt_parts.empty())
        this->update_blame(now, out);
    return out;
}

bool suspect_table::record_answer(const base::request_digest& digest,
                                  base::instant at,
                                  base::instant now,
                                  changes& out)
{
    this->answers.add(digest, at);
    const auto found = this->records.find(digest);
    if (found == this->records.end())
        return false;
    request_record& record = found->second;
    const quarantine_state before = this->state_of(digest, now);
    const std::size_t crashes = record.crashes.crash_count();
    record.crashes.record_answer(at);
    if (record.crashes.crash_count() == crashes &&
        before == quarantine_state::clear)
        return false;
    record.changed_at = now;
    this->append_if_changed(digest, record, before, now, out);
    return record.crashes.kind() == suspect_kind::prompt_part;
}

suspect_table::changes
suspect_table::clear_suspicion(const base::request_digest& request,
                               base::instant now)
{
    changes out;
    if (this->record_answer(request, now, now, out))
        this->update_blame(now, out);
    return out;
}

suspect_table::changes suspect_table::on_answer_begun(
    std::span<const base::request_digest> prompt_parts,
    base::instant began,
    base::instant now)
{
    changes out;
    bool changed = false;
    for (const base::request_digest& part : prompt_parts)
        changed = this->record_answer(part, began, now, out) || changed;
    if (changed)
        this->update_blame(now, out);
    return out;
}

void suspect_table::on_sent(const request_features& request, base::instant now)
{
    const auto record_trial = [&](const base::request_digest& digest) {
        if (this->state_of(digest, now) != quarantine_state::trial_due)
            return;
        request_record& record = this->records.at(digest);
        record.crashes.record_trial(now);
        record.changed_at = now;
    };
    record_trial(request.request);
    for (const base::request_digest& part : request.prompt_parts)
        record_trial(part);
}

void suspect_table::on_not_run(const request_features& request,
                               base::instant sent_at)
{
    const auto withdraw_trial = [&](const base::request_digest& digest) {
        const auto found = this->records.find(digest);
        if (found != this->records.end())
            found->second.crashes.withdraw_trial(sent_at);
    };
    withdraw_trial(request.request);
    for (const base::request_digest& part : request.prompt_parts)
        withdraw_trial(part);
}

template <class Change>
suspect_table::changes suspect_table::change_all(base::instant now,
                                                 const Change& apply)
{
    changes out;
    bool parts_changed = false;
    for (auto& [request, record] : this->records) {
        const quarantine_state before = this->state_of(request, record, now);
        if (!apply(record.crashes))
            continue;
        record.changed_at = now;
        parts_changed =
            parts_changed || record.crashes.kind() == suspect_kind::prompt_part;
        this->append_if_changed(request, record, before, now, out);
    }
    if (parts_changed)
        this->update_blame(now, out);
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
    this->known_alive.erase(upstream);
    return this->change_all(
        now, [&](crash_record& crashes) { return crashes.confirm(upstream); });
}

suspect_table::changes suspect_table::list_quarantined(base::instant now) const
{
    changes out;
    for (const auto& [request, record] : this->records) {
        if (record.is_quarantined())
            out.push_back({request,
                           record.crashes.workspace(),
                           this->state_of(request, record, now),
                           record.crashes.crash_count(),
                           record.crashes.kind()});
    }
    return out;
}

} // namespace greengagedrum::quarantine
