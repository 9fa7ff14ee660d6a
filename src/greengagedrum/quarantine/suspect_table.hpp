// Requests under which upstreams ended, and which of them are not to be sent
// any more (a query of death, a poison message).
//
// A request is known by its digest, so that it is recognised when it comes
// again as another attempt, here or at a peer. One that lost its connection to
// two incarnations of upstreams, and was answered by none, is quarantined.
// After a pause that grows with each further crash one copy is sent as a trial.
// An answer of the same request, from any upstream, clears it; an upstream that
// turns out to live has not crashed. Peers are sent a crash once its upstream
// was seen to be gone.
//
// Bounded: the records of one workspace can't push out those of others.
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

    // `salt` differs between entries, so that their trials don't coincide.
    explicit suspect_table(std::uint64_t salt) : salt(salt) {}

    quarantine_state state_of(const base::request_digest& request,
                              base::instant now) const;
    // Until a trial may be made; zero for what is not quarantined.
    base::duration time_until_trial(const base::request_digest& request,
                                    base::instant now) const;

    // ---- What this entry sees, and whose quarantine state changes by it

    changes on_crash(const base::request_digest& request,
                     base::workspace_id workspace,
                     base::upstream_id upstream,
                     base::instant now);
    // It was answered, whatever the answer says, or an operator released it.
    changes clear_suspicion(const base::request_digest& request,
                            base::instant now);
    // A copy of it is sent; a trial, if one is due.
    void on_sent(const base::request_digest& request, base::instant now);
    // An upstream has answered something.
    changes on_upstream_answered(base::upstream_id upstream, base::instant now);
    // After its connections were lost it takes new ones, or does not.
    changes on_upstream_reachable(base::upstream_id upstream,
                                  base::instant now);
    changes on_upstream_gone(base::upstream_id upstream, base::instant now);

    // ---- What peers see

    // What is new, and beside it, with `rest`, a part of all else by turns.
    std::vector<suspect_report> collect_reports(base::instant now,
                                                bool include_unchanged);
    changes merge(std::span<const suspect_report> received, base::instant now);

    // Drops what has lapsed.
    void remove_expired(base::instant now);

    bool empty() const { return this->records.empty(); }
    std::size_t size() const { return this->records.size(); }
    // Those that crashed too many upstreams, for metrics and operators.
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
    bool merge_one(request_record& record,
                   const suspect_report& received,
                   base::instant now);
    double trial_jitter(const base::request_digest& request) const;
    // Adds the quarantine state to `out` if it differs from `before`.
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
    // Upstreams counted as crashed, and those that turned out to live.
    std::unordered_map<base::upstream_id, base::instant> presumed_gone;
    std::unordered_map<base::upstream_id, base::instant> known_alive;
    recent_answers answers;
    // Where the reports by turns go on.
    base::request_digest last_reported_quarantined;
    base::request_digest last_reported_other;
};

} // namespace greengagedrum::quarantine
