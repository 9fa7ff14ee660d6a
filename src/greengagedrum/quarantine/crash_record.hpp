// What is known of one request under which upstreams ended.
//
// Crashes are kept by the upstream's incarnation, so that one that is seen
// twice counts once. Those that came no later than ten seconds after an answer
// of the same request don't count: it does not crash what runs it.
#pragma once

#include <greengagedrum/quarantine/messages.hpp>

#include <cstddef>
#include <map>
#include <optional>

namespace greengagedrum::quarantine
{

// Crashes after which a request is not sent.
inline constexpr std::size_t quarantine_threshold = 2;

// An answer speaks for its request for so long.
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
    base::instant last_crash() const; // of any

    // `offset`: a part of the pause, zero to one, by which a trial here is
    // later than the first of all entries.
    quarantine_state state_at(base::instant now, double trial_jitter) const;
    base::instant trial_due_at(double trial_jitter) const;

    // True when that was not known.
    bool add(base::upstream_id upstream, base::instant at, bool confirmed);
    bool confirm(base::upstream_id upstream);
    bool remove(base::upstream_id upstream);
    bool record_answer(base::instant at);
    void record_trial(base::instant at) { this->trial_at = at; }
    // All but the crashes, which the owner may know better.
    bool merge_times(const suspect_report& received, base::instant now);

    suspect_report make_report(const base::request_digest& request,
                               base::instant now) const;

private:
    struct crash {
        base::instant at;
        bool confirmed = false; // the upstream was gone
    };

    base::workspace_id workspace_id;
    std::map<base::upstream_id, crash> crashes;
    std::optional<base::instant> answered_at;
    std::optional<base::instant> trial_at;
};

} // namespace greengagedrum::quarantine
