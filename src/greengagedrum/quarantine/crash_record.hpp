// Upstream crashes while one request was running on them, and the answers and
// trials since.
//
// Crashes are keyed by the upstream's incarnation, so that a crash that is
// reported twice counts once. Crashes up to ten seconds after an answer to the
// same request don't count: an answered request does not crash upstreams.
#pragma once

#include <greengagedrum/quarantine/messages.hpp>

#include <cstddef>
#include <map>
#include <optional>

namespace greengagedrum::quarantine
{

// Crashes at which a request is quarantined.
inline constexpr std::size_t quarantine_threshold = 2;

// An answer rules out crashes of its request for this long.
inline constexpr base::duration answer_validity = std::chrono::seconds(10);

class crash_record
{
public:
    explicit crash_record(base::workspace_id workspace)
        : workspace_id(workspace)
    {
    }

    base::workspace_id workspace() const { return this->workspace_id; }
    std::size_t crash_count() const;
    // Of all kept crashes, also those that don't count.
    base::instant last_crash() const;

    // `trial_jitter`, in [0, 1): by which part of the delay this entry makes
    // its trial later than the earliest entry.
    quarantine_state state_at(base::instant now, double trial_jitter) const;
    base::instant trial_due_at(double trial_jitter) const;

    // The following return true if they changed the record.
    bool add(base::upstream_id upstream, base::instant at, bool confirmed);
    bool confirm(base::upstream_id upstream);
    bool remove(base::upstream_id upstream);
    bool record_answer(base::instant at);
    void record_trial(base::instant at) { this->trial_at = at; }
    // Takes over the times of the last answer and the last trial, but not the
    // crashes: the caller knows which upstreams turned out to be alive. Returns
    // true if one of the times is later than the known one.
    bool merge_times(const suspect_report& received, base::instant now);

    suspect_report make_report(const base::request_digest& request,
                               base::instant now) const;

private:
    struct crash {
        base::instant at;
        bool confirmed = false; // the upstream process is known to have ended
    };

    base::workspace_id workspace_id;
    std::map<base::upstream_id, crash> crashes;
    std::optional<base::instant> answered_at;
    std::optional<base::instant> trial_at;
};

} // namespace greengagedrum::quarantine
