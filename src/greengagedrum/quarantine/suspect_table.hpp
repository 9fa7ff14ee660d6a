// Requests and prompt parts that upstreams crashed while running (poison
// messages), and which of them are quarantined, that is, not sent any more.
//
// A request is identified by its digest, so that it is recognised in another
// attempt, here or at a peer. A request is quarantined once it lost its
// connection to two incarnations of upstreams and was answered by none. After a
// delay that grows with each further crash, one copy is sent as a trial. An
// answer of the same request from any upstream clears it, and an upstream that
// turns out to be alive has not crashed. A crash is reported to peers once its
// upstream is known to have ended.
//
// A prompt part, identified by its digest as well, is quarantined if it
// explains crashes that no other part explains better (see `assign_blame`).
// Answers that began after a crash rule that crash out for all parts of their
// prompts, so a part that is in use by sound requests is cleared within
// moments.
//
// Bounded: the records of one workspace can't evict those of others.
#pragma once

#include <greengagedrum/quarantine/blame.hpp>
#include <greengagedrum/quarantine/crash_record.hpp>
#include <greengagedrum/quarantine/recent_answers.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quarantine
{

// What a request may be quarantined for: itself, and the parts of its prompt
// that it shares with others.
struct request_features {
    base::request_digest request;
    std::span<const base::request_digest> prompt_parts;
};

class suspect_table
{
public:
    using changes = std::vector<quarantine_state_change>;

    // `salt` differs between entries and spreads their trials over time.
    explicit suspect_table(std::uint64_t salt) : salt(salt) {}

    quarantine_state state_of(const base::request_digest& digest,
                              base::instant now) const;
    // The strictest state of all features. A request is no trial of a part if
    // it has another one that is quarantined, or that could be blamed for some
    // of the same crashes: its result would not tell them apart.
    quarantine_state state_of(const request_features& request,
                              base::instant now) const;
    // Zero if it isn't quarantined; else one second at least.
    base::duration time_until_trial(const base::request_digest& digest,
                                    base::instant now) const;
    base::duration time_until_trial(const request_features& request,
                                    base::instant now) const;

    // `changes` lists the requests whose state a call changed.

    changes on_crash(const base::request_digest& request,
                     base::workspace_id workspace,
                     base::upstream_id upstream,
                     base::instant now);
    // The upstream crashed before it had written much of an answer to a request
    // with these prompt parts.
    changes on_crash(std::span<const base::request_digest> prompt_parts,
                     base::workspace_id workspace,
                     base::upstream_id upstream,
                     base::instant now);
    // The request was answered, with any status, or an operator released it.
    changes clear_suspicion(const base::request_digest& request,
                            base::instant now);
    // An answer to a request with these parts began at `began` and went on.
    changes on_answer_begun(std::span<const base::request_digest> prompt_parts,
                            base::instant began,
                            base::instant now);
    // The request is sent; where a trial is due, this is the trial.
    void on_sent(const request_features& request, base::instant now);
    // The request sent at that time did not run. If it was a trial, another one
    // is due; peers wait for the trial's timeout, or for the next trial.
    void on_not_run(const request_features& request, base::instant sent_at);
    // The upstream has answered any request.
    changes on_upstream_answered(base::upstream_id upstream, base::instant now);
    // After connections to the upstream were lost, a new connection to it
    // succeeded, or failed.
    changes on_upstream_reachable(base::upstream_id upstream,
                                  base::instant now);
    changes on_upstream_gone(base::upstream_id upstream, base::instant now);

    // Recent changes; with `include_unchanged` also a bounded number of all
    // other records, round robin over successive calls.
    std::vector<suspect_report> collect_reports(base::instant now,
                                                bool include_unchanged);
    // Records with crashes that count, in the order of their digests, as many
    // as one message may hold; describes them in `page`.
    std::vector<suspect_report> collect_page(const base::request_digest& after,
                                             base::instant now,
                                             suspect_page& page) const;
    changes merge(std::span<const suspect_report> received, base::instant now);

    // Drops records whose retention time has passed.
    void remove_expired(base::instant now);

    bool empty() const { return this->records.empty(); }
    std::size_t size() const { return this->records.size(); }
    // All requests and parts with enough crashes to be quarantined, also those
    // whose trial is due; for metrics and operators.
    changes list_quarantined(base::instant now) const;

private:
    struct request_record {
        crash_record crashes;
        base::instant changed_at;
        // Of a prompt part; `blamed_at`: since when it is blamed.
        blame verdict = blame::open;
        base::instant blamed_at;
        // Crashes that no other part could explain.
        std::size_t own_crashes = 0;

        bool is_quarantined() const;
    };
    using record_map = std::map<base::request_digest, request_record>;

    request_record& find_or_add(const base::request_digest& request,
                                base::workspace_id workspace,
                                suspect_kind kind);
    quarantine_state state_of(const base::request_digest& digest,
                              const request_record& record,
                              base::instant now) const;
    static trial_schedule schedule_of(const request_record& record);
    bool has_other_suspect(const request_features& request,
                           const base::request_digest& part) const;
    bool record_answer(const base::request_digest& digest,
                       base::instant at,
                       base::instant now,
                       changes& out);
    // Decides anew which parts are blamed, after a record of a part changed.
    void update_blame(base::instant now, changes& out);
    bool may_record(const suspect_report& received) const;
    void make_room(base::workspace_id workspace);
    void evict_least_suspect(base::workspace_id workspace);
    void erase(record_map::iterator record);
    struct merge_result {
        bool changed = false;
        bool repeat = false; // the sender lacks what is known here
    };
    merge_result merge_report(request_record& record,
                              const suspect_report& received,
                              base::instant now);
    double trial_jitter(const base::request_digest& request) const;
    // Appends the new state to `out` if it differs from `before`.
    void append_if_changed(const base::request_digest& request,
                           const request_record& record,
                           quarantine_state before,
                           base::instant now,
                           changes& out) const;
    template <class Change>
    changes change_all(base::instant now, const Change& apply);
    void add_recent(base::instant now, std::vector<suspect_report>& out) const;
    void add_round_robin(base::instant now,
                         bool quarantined_only,
                         std::size_t limit,
                         base::request_digest& last,
                         std::vector<suspect_report>& out) const;

    std::uint64_t salt;
    base::instant cleaned_up_at;
    record_map records;
    std::map<base::workspace_id, std::size_t> record_counts;
    // Upstreams counted as crashed, and those that turned out to be alive
    // since; earlier crashes of these are not taken over from peers.
    std::unordered_map<base::upstream_id, base::instant> presumed_gone;
    std::unordered_map<base::upstream_id, base::instant> known_alive;
    recent_answers answers;
    // The records at which the last round-robin reports ended.
    base::request_digest last_reported_quarantined;
    base::request_digest last_reported_other;
};

} // namespace greengagedrum::quarantine
