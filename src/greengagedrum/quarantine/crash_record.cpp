#include <greengagedrum/quarantine/crash_record.hpp>

#include <algorithm>

namespace greengagedrum::quarantine
{

namespace
{

// Crashes that are kept for one request; the oldest is dropped first.
constexpr std::size_t max_crashes = 8;

constexpr std::int64_t trial_delay_factor = 10;

base::duration trial_delay_after(std::size_t crashes,
                                 const trial_schedule& schedule)
{
    base::duration out = schedule.first_delay;
    for (std::size_t at = quarantine_threshold; at < crashes; ++at)
        out = std::min(out * trial_delay_factor, schedule.max_delay);
    return out;
}

// Returns true if the received time is later than the known one.
bool update_if_later(std::optional<base::instant>& known,
                     const std::optional<base::duration>& age,
                     base::instant now)
{
    if (!age || (known && now - *age <= *known + age_tolerance))
        return false;
    known = now - *age;
    return true;
}

} // namespace

std::string_view to_string(suspect_kind kind)
{
    return kind == suspect_kind::request ? "request" : "prompt_part";
}

std::string_view to_string(quarantine_state state)
{
    switch (state) {
    case quarantine_state::clear:
        return "clear";
    case quarantine_state::suspected:
        return "suspected";
    case quarantine_state::confirming:
        return "confirming";
    case quarantine_state::trial_due:
        return "trial_due";
    case quarantine_state::quarantined:
        return "quarantined";
    }
    return "unknown";
}

bool crash_record::counts(const crash& one) const
{
    return !this->answered_at ||
           one.at > *this->answered_at + this->answer_valid_for();
}

base::duration crash_record::answer_valid_for() const
{
    return this->record_kind == suspect_kind::request ? answer_validity
                                                      : base::duration(0);
}

std::vector<base::upstream_id> crash_record::counted_crashes() const
{
    std::vector<base::upstream_id> out;
    for (const auto& [upstream, one] : this->crashes) {
        if (this->counts(one))
            out.push_back(upstream);
    }
    return out;
}

std::size_t crash_record::crash_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->crashes.begin(), this->crashes.end(), [this](const auto& entry) {
            return this->counts(entry.second);
        }));
}

bool crash_record::was_answered_before() const
{
    return this->answered_at &&
           std::any_of(this->crashes.begin(),
                       this->crashes.end(),
                       [this](const auto& entry) {
                           return this->counts(entry.second) &&
                                  entry.second.at - *this->answered_at <
                                      answer_validity;
                       });
}

bool crash_record::has_crash_between(base::instant from,
                                     base::instant until) const
{
    return std::any_of(
        this->crashes.begin(), this->crashes.end(), [&](const auto& entry) {
            return entry.second.at > from && entry.second.at <= until;
        });
}

base::instant crash_record::last_crash() const
{
    base::instant last;
    for (const auto& [upstream, crash] : this->crashes)
        last = std::max(last, crash.at);
    return last;
}

base::instant crash_record::trial_due_at(double trial_jitter,
                                         const trial_schedule& schedule) const
{
    const base::duration delay =
        trial_delay_after(this->crash_count(), schedule);
    const auto jitter = static_cast<std::int64_t>(
        trial_jitter * static_cast<double>(delay.count()));
    return this->last_crash() + delay + base::duration(jitter);
}

quarantine_state crash_record::state_at(base::instant now,
                                        double trial_jitter) const
{
    const std::size_t crash_count = this->crash_count();
    if (crash_count == 0)
        return quarantine_state::clear;
    if (crash_count < quarantine_threshold)
        return quarantine_state::suspected;
    return this->trial_state_at(now, trial_jitter, trial_schedule());
}

quarantine_state
crash_record::trial_state_at(base::instant now,
                             double trial_jitter,
                             const trial_schedule& schedule) const
{
    const bool trying =
        this->trial_at && !this->trial_withdrawn &&
        now - *this->trial_at<schedule.timeout&&* this->trial_at> this
                   ->last_crash();
    return trying || now < this->trial_due_at(trial_jitter, schedule)
               ? quarantine_state::quarantined
               : quarantine_state::trial_due;
}

// Failure guarded against: two entries that noticed nine crashes at nearly the
// same time keep other eight of them. With each report that they exchange, the
// missing one would replace another, which is then missing and reported next.
bool crash_record::add(base::upstream_id upstream,
                       base::instant at,
                       bool confirmed)
{
    if (this->crashes.contains(upstream))
        return confirmed && this->confirm(upstream);
    if (this->crashes.size() == max_crashes) {
        const auto oldest =
            std::min_element(this->crashes.begin(),
                             this->crashes.end(),
                             [](const auto& left, const auto& right) {
                                 return left.second.at < right.second.at;
                             });
        if (at <= oldest->second.at + age_tolerance)
            return false;
        this->crashes.erase(oldest);
    }
    this->crashes.emplace(upstream, crash{at, confirmed});
    return true;
}

bool crash_record::confirm(base::upstream_id upstream)
{
    const auto found = this->crashes.find(upstream);
    if (found == this->crashes.end() || found->second.confirmed)
        return false;
    found->second.confirmed = true;
    return true;
}

bool crash_record::remove(base::upstream_id upstream)
{
    return this->crashes.erase(upstream) > 0;
}

bool crash_record::record_answer(base::instant at)
{
    if (this->answered_at && *this->answered_at >= at)
        return false;
    this->answered_at = at;
    return true;
}

bool crash_record::merge_kind(suspect_kind kind)
{
    if (kind == this->record_kind || kind != suspect_kind::prompt_part)
        return false;
    this->record_kind = kind;
    return true;
}

void crash_record::record_trial(base::instant at)
{
    this->trial_at = at;
    this->trial_withdrawn = false;
}

void crash_record::withdraw_trial(base::instant sent_at)
{
    if (this->trial_at == sent_at)
        this->trial_withdrawn = true;
}

bool crash_record::merge_times(const suspect_report& received,
                               base::instant now)
{
    // A slightly later answer matters if it rules out a crash.
    const base::duration valid = this->answer_valid_for();
    const bool answer_after_crash =
        received.answered_age && this->answered_at &&
        this->has_crash_between(*this->answered_at + valid,
                                now - *received.answered_age + valid);
    bool answer =
        update_if_later(this->answered_at, received.answered_age, now);
    if (!answer && answer_after_crash)
        answer = this->record_answer(now - *received.answered_age);
    const bool trial = update_if_later(this->trial_at, received.trial_age, now);
    if (trial)
        this->trial_withdrawn = false;
    return answer || trial;
}

bool crash_record::rules_out_crash_of(const suspect_report& received,
                                      base::instant now) const
{
    if (!this->answered_at)
        return false;
    const base::duration valid = this->answer_valid_for();
    return std::any_of(received.crashes.begin(),
                       received.crashes.end(),
                       [&](const reported_crash& one) {
                           const bool known_to_sender =
                               received.answered_age &&
                               *received.answered_age <= one.age + valid;
                           return !known_to_sender &&
                                  now - one.age <= *this->answered_at + valid;
                       });
}

// Only confirmed crashes are reported: a connection that was merely reset would
// be counted as a crash by all peers.
suspect_report crash_record::make_report(const base::request_digest& request,
                                         base::instant now) const
{
    suspect_report out{
        request, this->workspace_id, {}, {}, {}, this->record_kind};
    for (const auto& [upstream, crash] : this->crashes) {
        if (crash.confirmed)
            out.crashes.push_back({upstream, now - crash.at});
    }
    if (this->answered_at)
        out.answered_age = now - *this->answered_at;
    if (this->trial_at && !this->trial_withdrawn)
        out.trial_age = now - *this->trial_at;
    return out;
}

} // namespace greengagedrum::quarantine
