// Keeps each workspace within its limit over all entries together, without
// refusing what is within it.
//
// A request is let through when all that was let through in the operator's
// window, this included, is within rate times window plus burst, and a token
// bucket of the published burst has its cost. The bucket fills evenly with what
// the window may hold, so that no more than a burst goes out at once: all
// entries may be killed at any moment, and their successors, which know nothing
// of the window and give out the rate, still keep the limit.
//
// Each entry counts what it let through and what its peers tell that they did.
// Nothing is divided among entries that hear each other, since callers are
// spread unevenly over them; those that can't be heard are assumed to use a
// part (absent_peers). A part of what the operator tolerates covers the time
// that a peer's message takes. docs/design/limits.md has the bound.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/silent_peers.hpp>
#include <greengagedrum/quota/workspace_limit.hpp>
#include <greengagedrum/routing/configuration.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quota
{

// What one entry let through, in the limit's unit.
struct workspace_usage {
    base::workspace_id workspace;
    std::uint64_t sent_total = 0; // sent to upstreams since its start
    std::uint32_t waiting = 0;    // let through and not sent yet
    std::uint32_t sent_in_window =
        0; // of `sent_total`, within the operator's window
    // The same of all entries, by equal parts of the window, the newest first;
    // empty where the sender does not know the window.
    std::vector<std::uint32_t> all_sent_in_window{};
};

// What one workspace's limit rests on at this entry, in its unit. For the log.
struct limit_status {
    double bucket_level = 0; // of the bucket; below zero: overdrawn
    double own_sent = 0;     // within the window, by this entry
    double all_sent = 0;     // within the window, by all entries
    double all_waiting = 0;  // let through and not sent yet, by all entries
    double window_bound = 0; // what a window may hold
    double silent_share = 0; // of the limit, kept for entries not heard
    bool window_known = false;
};

class usage_limiter
{
public:
    explicit usage_limiter(base::instant started)
        : started(started), silent_peer_shares(started)
    {
    }

    void set_tolerance(const tolerance& given) { this->tolerated = given; }
    // Forgets all that was counted, as a process does that starts now: others
    // counted for this entry meanwhile.
    void restart(base::instant now);

    // The same, and goes on with what another process knew of all entries when
    // it told so last: this one counts in its place.
    void take_over(base::slot_id former,
                   base::incarnation incarnation,
                   std::span<const workspace_usage> usage,
                   base::instant now);

    void set_limits(const routing::configuration& config, base::instant now);

    // Empty: the request is within the limit and waits to be sent. Else when
    // to come back. Beyond the limit more urgent requests (0: the most) go
    // first.
    std::optional<base::duration> try_acquire(base::workspace_id workspace,
                                              double cost,
                                              std::uint32_t priority,
                                              base::instant now);

    // It goes to an upstream, for the first time. It counts for the window
    // from here on: a caller's request that waits is sent later, never sooner.
    void on_sent(base::workspace_id workspace, double cost, base::instant now);

    // It ended without having been sent.
    void
    refund_unsent(base::workspace_id workspace, double cost, base::instant now);

    // It was sent, and did not run after all. The window goes on counting it:
    // taken out late, it would make room once more as its time leaves.
    void refund_not_run(base::workspace_id workspace,
                        double cost,
                        base::instant now);

    void on_peer_report(base::slot_id peer,
                        base::incarnation incarnation,
                        std::span<const workspace_usage> usage,
                        bool stopping,
                        base::instant now);

    // It lets nothing through by itself any more: another entry counts for it.
    // No part of a limit is kept for it. What was counted of it stays known for
    // a window, in case that it is heard again.
    void forget_peer(base::slot_id peer);
    // The same of all: from now on few count for all others.
    void forget_peers();

    // Time has passed: who has fallen silent is assumed to use its part.
    void update_silent_peers(base::instant now);
    // Entries that are named somewhere and were never heard.
    void set_never_heard_peer_count(std::size_t count);
    // Of those that this entry counts for, the part that does not report.
    void set_unreported_member_share(double part, base::instant now);

    std::vector<workspace_usage> own_usage(base::instant now);
    // For whoever may take over: also what only others used, in finer parts.
    std::vector<workspace_usage> window_usage(base::instant now);
    limit_status status_of(base::workspace_id workspace,
                           base::instant now) const;
    // What such a request has to leave of the limit for those more urgent.
    double reserved_for_higher_priority(base::workspace_id workspace,
                                        double cost,
                                        std::uint32_t priority,
                                        base::instant now) const;

private:
    struct peer_usage {
        double sent = 0;
        double waiting = 0;
    };

    struct peer_state {
        base::incarnation incarnation;
        base::instant reported_at;
        bool forgotten = false;
        std::unordered_map<base::workspace_id, peer_usage> usage;
    };

    workspace_limit* find_limit(base::workspace_id workspace);
    limit_rules rules(base::instant now) const;
    bool started_within_window(base::instant now) const;
    bool window_known(base::instant now) const;
    workspace_usage usage_of(base::workspace_id workspace,
                             const workspace_limit& limit,
                             std::size_t parts,
                             base::instant now) const;
    std::vector<std::uint32_t> all_sent_in_window(const workspace_limit& limit,
                                                  std::size_t parts,
                                                  base::instant now) const;
    void count_peer_usage(base::slot_id peer,
                          peer_usage& known,
                          const workspace_usage& reported,
                          bool first_report,
                          base::instant now);
    void merge_history(const workspace_usage& reported, base::instant now);
    void drop_waiting(peer_state& peer);
    void remove_forgotten(base::instant now);

    base::instant started;
    bool took_over = false; // what it knows of the window is another's
    tolerance tolerated;
    std::unordered_map<base::workspace_id, workspace_limit> limits;
    std::unordered_map<base::slot_id, peer_state> peers;
    silent_peers silent_peer_shares;
};

} // namespace greengagedrum::quota
