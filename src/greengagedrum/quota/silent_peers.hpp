// What entries that can't be heard are assumed to let through of each limit.
//
// Failure guarded against: some entries are cut off from the others. Whoever
// took their silence for idleness would give a busy workspace its whole limit
// on each side of the cut, and one that went by what they did just before it
// would know nothing of a burst that begins behind it. So each limit is divided
// for the time of the silence: an entry keeps the part that it used lately, and
// what nobody used goes in equal parts to all. All sides divide alike, by what
// all knew before, so that their parts make one limit.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/quota/decaying_rate.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quota
{

// Assumed of all silent peers together, for one workspace.
struct assumed_usage {
    double share = 0; // of the limit, from `since` on
    base::instant since;
};

class silent_peers
{
public:
    explicit silent_peers(base::instant started) : started(started) {}

    // A peer let so much through since it was last heard.
    void on_peer_usage(base::slot_id peer,
                       base::workspace_id workspace,
                       double amount,
                       base::instant now);
    void on_own_usage(base::workspace_id workspace,
                      double amount,
                      base::instant now);

    // True when it was silent until now: its shares end.
    bool on_heard(base::slot_id peer, bool stopping, base::instant now);
    // Another process in its place has used nothing yet.
    void on_restart(base::slot_id peer);

    void forget(base::slot_id peer) { this->peers.erase(peer); }

    // Entries that are known of and were never heard.
    void set_never_heard_count(std::size_t count) { this->never_heard = count; }
    // Of the entries that this one counts for, the part that does not report:
    // another one may count for them where neither can be heard.
    void set_unreported_share(double part, base::instant now);

    // One workspace's limit.
    struct workspace_rate {
        base::workspace_id workspace;
        double per_second = 0;
    };
    // Finds out who has fallen silent, or ended, since the last call.
    std::vector<base::slot_id>
    detect_silent(const std::vector<workspace_rate>& limits, base::instant now);

    assumed_usage assumed_usage_of(base::workspace_id workspace,
                                   base::instant now) const;

private:
    struct peer_state {
        base::instant heard_at;
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
