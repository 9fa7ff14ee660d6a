// Upstream crashes while one request, or requests with one prompt part, were
// running on them, and the answers and trials since.
//
// Crashes are keyed by the upstream's incarnation, so that a crash that is
// reported twice counts once. Crashes up to ten seconds after an answer to the
// same request don't count: an answered request does not crash upstreams. For a
// prompt part, which may begin to crash upstreams at any time, only crashes up
// to the answer don't count.
#pragma once

#include <greengagedrum/quarantine/messages.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace greengagedrum::quarantine
{

// Crashes at which a request is quarantined.
inline constexpr std::size_t quarantine_threshold = 2;

// An answer rules out crashes of its request for this long.
inline constexpr base::duration answer_validity = std::chrono::seconds(10);

// Ages are relative to the time of sending and are read one network delay
// later. A time that is later than the known one by less than this counts as
// the same time.
inline constexpr base::duration age_tolerance = std::chrono::milliseconds(400);

// When copies of a quarantined request are sent to test it.
struct trial_schedule {
    // Delay from the last crash to the next trial; ten times as long after each
    // further crash, up to the longest one.
    base::duration first_delay = std::chrono::seconds(60);
    base::duration max_delay = std::chrono::hours(24);
    // A trial that has not ended after this time no longer blocks another one.
    base::duration timeout = std::chrono::seconds(30);
};

class crash_record
{
public:
    explicit crash_record(base::workspace_id workspace,
                          suspect_kind kind = suspect_kind::request)
        : workspace_id(workspace), record_kind(kind)
    {
    }

    base::workspace_id workspace() const { return this->workspace_id; }
    suspect_kind kind() const { return this->record_kind; }
    std::size_t crash_count() const;
    // The upstreams of all crashes that count.
    std::vector<base::upstream_id> counted_crashes() const;
    // Answers arrived until shortly before the first crash that counts.
    bool was_answered_before() const;
    // Of all kept crashes, also those that don't count.
    base::instant last_crash() const;

    // `trial_jitter`, in [0, 1): by which part of the delay this entry makes
    // its trial later than the earliest entry.
    quarantine_state state_at(base::instant now, double trial_jitter) const;
    // Whether a quarantined request is refused, or one copy may be sent.
    quarantine_state trial_state_at(base::instant now,
                                    double trial_jitter,
                                    const trial_schedule& schedule) const;
    base::instant trial_due_at(double trial_jitter,
                               const trial_schedule& schedule = {}) const;

    // The following return true if they changed the record.
    bool add(base::upstream_id upstream, base::instant at, bool confirmed);
    bool confirm(base::upstream_id upstream);
    bool remove(base::upstream_id upstream);
    bool record_answer(base::instant at);
    // A part stays a part: older builds report its record without its kind,
    // which reads as that of a request.
    bool merge_kind(suspect_kind kind);
    void record_trial(base::instant at);
    // The trial sent at that time did not run on any upstream. Peers that know
    // of it don't bring it back.
    void withdraw_trial(base::instant sent_at);
    // Takes over the times of the last answer and the last trial, but not the
    // crashes: the caller knows which upstreams turned out to be alive. Returns
    // true if one of the times is later than the known one.
    bool merge_times(const suspect_report& received, base::instant now);

    // Whether the last known answer rules out one of the reported crashes,
    // which the answer known to the sender doesn't.
    bool rules_out_crash_of(const suspect_report& received,
                            base::instant now) const;

    suspect_report make_report(const base::request_digest& request,
                               base::instant now) const;

private:
    struct crash {
        base::instant at;
        bool confirmed = false; // the upstream process is known to have ended
    };

    bool counts(const crash& one) const;
    // An answer rules out crashes up to this much later.
    base::duration answer_valid_for() const;
    bool has_crash_between(base::instant from, base::instant until) const;

    base::workspace_id workspace_id;
    suspect_kind record_kind;
    std::map<base::upstream_id, crash> crashes;
    std::optional<base::instant> answered_at;
    std::optional<base::instant> trial_at;
    bool trial_withdrawn = false; // the one at `trial_at`
};

} // namespace greengagedrum::quarantine
