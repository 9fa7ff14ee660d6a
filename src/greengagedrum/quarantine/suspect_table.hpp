// Requests that upstreams crashed while running (poison messages), and which of
// them are quarantined, that is, not sent any more.
//
// A request is identified by its digest, so that it is recognised in another
// attempt, here or at a peer. A request is quarantined once it lost its
// connection to two incarnations of upstreams and was answered by none. After a
// delay that grows with each further crash, one copy is sent as a trial. An
// answer of the same request from any upstream clears it, and an upstream that
// turns out to be alive has not crashed. A crash is reported to peers once its
// upstream is known to have ended.
//
// Bounded: the records of one workspace can't evict those of others.
#pragma once

#include <greengagedrum/quarantine/crash_record.hpp>
#include <greengagedrum/quarantine/recent_answers.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quarantine
{

class suspect_table
{
public:
    using changes = std::vector<quarantine_state_change>;

    // `salt` differs between entries and spreads their trials over time.
    explicit suspect_table(std::uint64_t salt) : salt(salt) {}

    quarantine_state state_of(const base::request_digest& request,
                              base::instant now) const;
    // Zero if the request isn't quarantined; else one second at least.
    base::duration time_until_trial(const base::request_digest& request,
                                    base::instant now) const;

    // `changes` lists the requests whose state a call changed.

    changes on_crash(const base::request_digest& request,
                     base::workspace_id workspace,
                     base::upstream_id upstream,
                     base::instant now);
    // The request was answered, with any status, or an operator released it.
    changes clear_suspicion(const base::request_digest& request,
                            base::instant now);
    // A copy of the request is sent; if a trial is due, that copy is the trial.
    void on_sent(const base::request_digest& request, base::instant now);
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
    changes merge(std::span<const suspect_report> received, base::instant now);

    // Drops records whose retention time has passed.
    void remove_expired(base::instant now);

    bool empty() const { return this->records.empty(); }
    std::size_t size() const { return this->records.size(); }
    // All requests with enough crashes to be quarantined, also those whose
    // trial is due; for metrics and operators.
    changes list_quarantined(base::instant now) const;

private:
    struct request_record {
        crash_record crashes;
        base::instant changed_at;
    };
    using record_map = std::map<base::request_digest, request_record>;

    request_record& find_or_add(const base::request_digest& request,
                                base::workspace_id workspace);
    bool may_record(const suspect_report& received) const;
    void make_room(base::workspace_id workspace);
    void evict_least_suspect(base::workspace_id workspace);
    void erase(record_map::iterator record);
    bool merge_report(request_record& record,
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
    // since.
    std::unordered_map<base::upstream_id, base::instant> presumed_gone;
    std::unordered_map<base::upstream_id, base::instant> known_alive;
    recent_answers answers;
    // The records at which the last round-robin reports ended.
    base::request_digest last_reported_quarantined;
    base::request_digest last_reported_other;
};

} // namespace greengagedrum::quarantine
