// Requests under which upstreams ended, and which of them are not to be sent
// any more (a query of death, a poison message).
//
// A request is known by its digest, so that it is recognised when it comes
// again as another attempt, here or at a peer. A request that lost its
// connection on two lives of upstreams, and was answered by none, is
// quarantined. After a pause that grows with each further crash one copy is
// sent as a trial. An answer of the same request, from any upstream, clears it;
// so does a sign of life of an upstream that was counted as crashed.
//
// Bounded: the records of one workspace can't push out those of others.
#pragma once

#include <greengagedrum/quarantine/messages.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>

namespace greengagedrum::quarantine
{

class suspect_table
{
public:
    // `salt` differs between entries, so that their trials don't coincide.
    explicit suspect_table(std::uint64_t salt) : salt(salt) {}

    standing standing_of(const base::request_digest& request,
                         base::instant now) const;
    // Until a trial may be made; zero for what is not quarantined.
    base::duration pause_left(const base::request_digest& request,
                              base::instant now) const;

    // ---- What this entry sees; a change of standing, if there is one.

    std::optional<standing_change> crashed(const base::request_digest& request,
                                           base::workspace_id workspace,
                                           base::upstream_id upstream,
                                           base::instant now);
    // It was answered, whatever the answer says, or an operator released it.
    std::optional<standing_change> cleared(const base::request_digest& request,
                                           base::instant now);
    // A copy of it is sent; a trial, if one is due.
    void sent(const base::request_digest& request, base::instant now);
    // An upstream has answered something.
    void upstream_lives(base::upstream_id upstream, base::instant now);

    // ---- What peers see

    // What is new, and beside it, with `rest`, a part of all else by turns.
    std::vector<suspect_report> reports(base::instant now, bool rest);
    std::vector<standing_change> merge(std::span<const suspect_report> told,
                                       base::instant now);

    // Drops what has lapsed.
    void tick(base::instant now);

    bool empty() const { return this->records.empty(); }
    std::size_t size() const { return this->records.size(); }
    // Requests that are quarantined, for metrics and operators.
    std::vector<standing_change> quarantined(base::instant now) const;

private:
    struct record {
        base::workspace_id workspace;
        std::map<base::upstream_id, base::instant> crashes;
        std::optional<base::instant> cleared_at;
        std::optional<base::instant> trial_at;
        base::instant changed_at;
    };
    using record_map = std::map<base::request_digest, record>;

    record& find_or_add(const base::request_digest& request,
                        base::workspace_id workspace);
    void make_room(base::workspace_id workspace);
    void drop_least(base::workspace_id workspace);
    void erase(record_map::iterator which);
    void note_crash(record& own,
                    base::upstream_id upstream,
                    base::instant at,
                    base::instant now);
    bool has_room_for(const suspect_report& told) const;
    bool merge_one(record& own, const suspect_report& told, base::instant now);
    bool was_answered(const base::request_digest& request,
                      base::instant at) const;
    void remember_answer(const base::request_digest& request,
                         base::instant now);
    static std::size_t count(const record& of);
    static base::instant last_crash(const record& of);
    base::instant trial_from(const base::request_digest& request,
                             const record& of) const;
    standing standing_of(const base::request_digest& request,
                         const record& of,
                         base::instant now) const;
    std::optional<standing_change> change(const base::request_digest& request,
                                          const record& of,
                                          standing before,
                                          base::instant now) const;
    void add_by_turns(base::instant now,
                      bool wanted_quarantined,
                      std::size_t most,
                      base::request_digest& last,
                      std::vector<suspect_report>& out) const;
    static suspect_report report_of(const base::request_digest& request,
                                    const record& of,
                                    base::instant now);

    std::uint64_t salt;
    base::instant swept_at;
    record_map records;
    std::map<base::workspace_id, std::size_t> by_workspace;
    // Upstreams counted as crashed, and those that turned out to live.
    std::unordered_map<base::upstream_id, base::instant> presumed_dead;
    std::unordered_map<base::upstream_id, base::instant> found_alive;
    // The last answers, oldest first.
    std::deque<std::pair<base::request_digest, base::instant>> answers;
    std::unordered_map<base::request_digest, base::instant> answered_at;
    // Where the reports by turns go on.
    base::request_digest told_quarantined;
    base::request_digest told_others;
};

} // namespace greengagedrum::quarantine
