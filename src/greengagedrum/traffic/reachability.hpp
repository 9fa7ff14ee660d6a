// Which entry reaches which upstream, as far as the entry that dispatches for
// others can tell.
//
// A connect that fails has two ends. The upstream may be down, or the entry may
// have lost its path to it while all others reach it. So a failure counts
// against the upstream for all entries only as long as nothing shows that the
// fault is the entry's own: other entries reach the upstream, or the entry
// fails at one upstream after another. Each entry avoids the upstreams that it
// could not reach, whatever they are to the others.
//
// An entry that dispatches only for itself has nobody to compare with: all of
// its failures count.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagedrum::traffic
{

// Stands for this entry where others are named by their slots.
inline const base::slot_id this_entry{std::uint64_t{1}};

class reachability
{
public:
    struct connect_verdict {
        bool counts = true; // against the upstream, for all entries
        // Upstreams against which earlier failures of the entry counted and no
        // longer do.
        std::vector<base::upstream_id> retracted;
    };

    // The entry has sent a request to the upstream.
    void on_sent(base::slot_id entry, base::instant now);

    // The upstream has answered a request that the entry sent at `sent_at`.
    // Returns true when that refutes a failure which counted against it.
    bool on_reached(base::slot_id entry,
                    base::upstream_id upstream,
                    base::instant sent_at);

    // The entry's connect, begun at `sent_at`, failed.
    connect_verdict on_connect_failed(base::slot_id entry,
                                      base::upstream_id upstream,
                                      base::instant sent_at,
                                      base::instant now);

    // True when the entry has no reason to avoid any upstream.
    bool is_unrestricted(base::slot_id entry, base::instant now) const;
    // True when the entry is not to be sent to the upstream now.
    bool avoids(base::slot_id entry,
                base::upstream_id upstream,
                base::instant now) const;

    void forget_entry(base::slot_id entry) { this->entries.erase(entry); }
    void forget_upstream(base::upstream_id upstream);

private:
    struct failure {
        base::upstream_id upstream;
        base::instant sent_at; // of the latest one
        base::instant avoided_until;
        base::duration pause{0};
        bool counted = false;
        bool in_streak = true; // the entry has reached nothing since the first
    };

    struct entry_state {
        std::vector<failure> failures; // one for each upstream not reached
        base::instant streak_began_at; // of the connect that failed first
        base::instant probe_at;        // earliest time of the next send
    };

    // The latest sends that two different entries got an answer to.
    struct reached {
        base::slot_id entry;
        base::instant sent_at;
        base::slot_id other_entry;
        base::instant other_sent_at;
    };

    bool has_others(base::instant now) const;
    static std::size_t streak_length(const entry_state& one);
    static bool is_isolated(const entry_state& one);
    bool reached_by_another(base::slot_id entry,
                            base::upstream_id upstream,
                            base::instant since) const;
    bool failed_at_another(base::slot_id entry,
                           base::upstream_id upstream) const;
    static void remove_expired(entry_state& one, base::instant now);

    std::unordered_map<base::slot_id, entry_state> entries; // with failures
    std::unordered_map<base::upstream_id, reached> upstreams;
    base::instant other_sent_at; // the latest send of another entry
};

} // namespace greengagedrum::traffic
