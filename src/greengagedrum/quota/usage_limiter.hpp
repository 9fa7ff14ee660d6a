// Rate limiter that keeps each workspace within its limit over all entries,
// without refusing requests that are within it.
//
// A request is admitted if two conditions hold. All that was admitted within
// the operator's window, this request included, is at most rate times window
// plus burst; and a token bucket, whose capacity is the published burst, holds
// the request's cost. The bucket fills at the rate that spreads the window's
// bound evenly over the window, so that at most one burst is admitted at once.
// This keeps the limit even if all entries are killed at any moment: their
// successors know nothing of the window and admit only the published rate.
//
// Each entry counts what it sent and what its peers report to have sent.
// Nothing is divided among entries that hear each other, since callers are
// spread unevenly over them. Peers that can't be heard are assumed to use a
// share (see silent_peers). A part of the tolerance that the operator grants
// covers the delay of the peers' messages. docs/design/limits.md derives the
// bound.
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

// What one entry used of a limit, in the limit's unit.
struct workspace_usage {
    base::workspace_id workspace;
    std::uint64_t sent_total = 0; // since its process started
    std::uint32_t waiting = 0;    // admitted, not sent yet
    // Of `sent_total`, what was sent within the operator's window.
    std::uint32_t sent_in_window = 0;
    // Sent by all entries within the window, by equal parts of it, the most
    // recent first. Empty if the sender does not know the window.
    std::vector<std::uint32_t> all_sent_in_window{};
};

// The state of one workspace's limit at this entry, in the limit's unit. For
// the log.
struct limit_status {
    double bucket_level = 0; // negative: overdrawn
    double own_sent = 0;     // by this entry, within the window
    double all_sent = 0;     // by all entries, within the window
    double all_waiting = 0;  // admitted and not sent yet, by all entries
    double window_bound = 0; // the most that a window may hold
    double silent_share = 0; // of the limit, reserved for silent peers
    bool window_known = false;
};

class usage_limiter
{
public:
    explicit usage_limiter(base::instant started)
        : started(started), silent_peer_shares(started)
    {
    }

    void set_tolerance(const tolerance& allowed) { this->tolerated = allowed; }
    // Forgets all usage, as if the process had just started. For an entry that
    // begins to count again after others counted for it.
    void restart(base::instant now);

    // Restarts with the usage that the former dispatcher reported last, since
    // this entry counts in its place.
    void take_over(base::slot_id former,
                   base::incarnation incarnation,
                   std::span<const workspace_usage> usage,
                   base::instant now);

    void set_limits(const routing::configuration& config, base::instant now);

    // Returns nothing if the request is admitted; it then counts as waiting
    // until on_sent() or refund_unsent(). Otherwise returns the delay after
    // which the caller should retry. Beyond the limit, higher priorities (0 is
    // the highest) go first.
    std::optional<base::duration> try_acquire(base::workspace_id workspace,
                                              double cost,
                                              std::uint32_t priority,
                                              base::instant now);

    // The request is sent for the first time, and counts in the window from now
    // on: a waiting request is sent later than it was admitted, never sooner.
    void on_sent(base::workspace_id workspace, double cost, base::instant now);

    // The request ended without having been sent.
    void
    refund_unsent(base::workspace_id workspace, double cost, base::instant now);

    // The request was sent but did not run. Its cost returns to the bucket
    // only. Taken out of the window late, it would make room a second time when
    // it would have left the window.
    void refund_not_run(base::workspace_id workspace,
                        double cost,
                        base::instant now);

    // `silent_after`: the time without a report after which a share is reserved
    // for the peer.
    void on_peer_report(base::slot_id peer,
                        base::incarnation incarnation,
                        std::span<const workspace_usage> usage,
                        bool stopping,
                        base::instant now,
                        base::duration silent_after = silence_timeout);

    // The peer admits nothing by itself any more, since another entry counts
    // for it. No share is reserved for it. Its counted usage stays known for a
    // window, in case the peer is heard again.
    void forget_peer(base::slot_id peer);
    // The same for all peers: from now on a few entries count for all others.
    void forget_peers();

    // To be called regularly: reserves shares for peers that fell silent.
    void update_silent_peers(base::instant now);
    // Number of known peers that were never heard.
    void set_never_heard_peer_count(std::size_t count);
    // Of the members that this entry dispatches for, the share that does not
    // report.
    void set_unreported_member_share(double share, base::instant now);

    std::vector<workspace_usage> own_usage(base::instant now);
    // For a successor: also what only others used, and in finer parts.
    std::vector<workspace_usage> window_usage(base::instant now);
    limit_status status_of(base::workspace_id workspace,
                           base::instant now) const;
    // The part of the limit that a request of this cost and priority has to
    // leave to higher priorities.
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
                          peer_usage& known_usage,
                          const workspace_usage& reported,
                          bool first_report,
                          base::instant now);
    void merge_history(const workspace_usage& reported, base::instant now);
    void drop_waiting(peer_state& peer);
    void remove_forgotten(base::instant now);

    base::instant started;
    // The usage of the window was handed over by another process.
    bool took_over = false;
    tolerance tolerated;
    std::unordered_map<base::workspace_id, workspace_limit> limits;
    std::unordered_map<base::slot_id, peer_state> peers;
    silent_peers silent_peer_shares;
};

} // namespace greengagedrum::quota
