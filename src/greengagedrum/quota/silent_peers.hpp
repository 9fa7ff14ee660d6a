// The share of each limit that is reserved for peers that can't be heard.
//
// Failure guarded against: a network partition. An entry that takes silence for
// idleness gives a busy workspace its whole limit on each side of the
// partition. An entry that goes by the peers' last rates misses a burst that
// begins behind the partition. So each limit is divided while peers are silent:
// an entry keeps the share that it used recently, and the unused rest is
// divided equally among all. All sides compute the shares from what all knew
// before the partition, so that the shares add up to one limit.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/decaying_rate.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quota
{

// What all silent peers together are assumed to use of one workspace's limit.
struct assumed_usage {
    double share = 0; // of the limit, since `since`
    base::instant since;
};

// Entries report at least every 200 ms, so a peer that is silent for this long
// has ended, or two of its messages in a row were lost. Peers of other regions
// have a timeout of their own.
inline constexpr base::duration silence_timeout =
    std::chrono::milliseconds(450);

class silent_peers
{
public:
    explicit silent_peers(base::instant started) : started(started) {}

    // `amount` was sent since the peer's last report.
    void on_peer_usage(base::slot_id peer,
                       base::workspace_id workspace,
                       double amount,
                       base::instant now);
    void on_own_usage(base::workspace_id workspace,
                      double amount,
                      base::instant now);

    // Returns true if the peer was silent until now; its reserved shares end.
    bool on_heard(base::slot_id peer,
                  bool stopping,
                  base::instant now,
                  base::duration silent_after = silence_timeout);
    // A new process, which has used nothing yet, replaces the peer.
    void on_restart(base::slot_id peer);

    void forget(base::slot_id peer) { this->peers.erase(peer); }

    // Number of known peers that were never heard.
    void set_never_heard_count(std::size_t count) { this->never_heard = count; }
    // Of the members that this entry dispatches for, the share that does not
    // report: if a partition separates them, another dispatcher serves them.
    void set_unreported_share(double share, base::instant now);

    // A workspace and the rate of its limit.
    struct workspace_rate {
        base::workspace_id workspace;
        double per_second = 0;
    };
    // Returns the peers that fell silent since the last call, and forgets those
    // that ended.
    std::vector<base::slot_id>
    detect_silent(const std::vector<workspace_rate>& limits, base::instant now);

    assumed_usage assumed_usage_of(base::workspace_id workspace,
                                   base::instant now) const;

private:
    struct peer_state {
        base::instant heard_at;
        base::duration silent_after = silence_timeout;
        bool stopping = false;
        bool silent = false;
        std::unordered_map<base::workspace_id, decaying_rate> rates;
        std::unordered_map<base::workspace_id, double> shares;
    };

    void mark_silent(peer_state& peer,
                     const std::vector<workspace_rate>& limits,
                     base::instant now);
    double total_rate(base::workspace_id workspace, base::instant now) const;
    double never_heard_share(base::instant now) const;
    double unreported_share(double heard_share) const;

    base::instant started;
    std::unordered_map<base::slot_id, peer_state> peers;
    std::unordered_map<base::workspace_id, decaying_rate> own_rates;
    std::size_t never_heard = 0;
    double unreported = 0;
    base::instant unreported_since;
};

} // namespace greengagedrum::quota
