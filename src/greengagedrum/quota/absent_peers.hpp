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
#include <greengagedrum/quota/fading_rate.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quota
{

// Assumed of all silent peers together, for one workspace.
struct assumed_use {
    double share = 0; // of the limit, from `since` on
    base::instant since;
};

class absent_peers
{
public:
    explicit absent_peers(base::instant started) : started(started) {}

    // A peer let so much through since it was last heard.
    void used(base::slot_id peer,
              base::workspace_id workspace,
              double amount,
              base::instant now);
    void
    own_used(base::workspace_id workspace, double amount, base::instant now);

    // True when it was silent until now: its shares end.
    bool heard(base::slot_id peer, bool stopping, base::instant now);
    // Another process in its place has used nothing yet.
    void restarted(base::slot_id peer);

    void forget(base::slot_id peer) { this->peers.erase(peer); }

    // Entries that are known of and were never heard.
    void set_unheard(std::size_t count) { this->unheard = count; }
    // Of the entries that this one counts for, the part that does not report:
    // another one may count for them where neither can be heard.
    void set_unreported(double part, base::instant now);

    // One workspace's limit.
    struct limited {
        base::workspace_id workspace;
        double per_second = 0;
    };
    // Finds out who has fallen silent, or ended, since the last call.
    std::vector<base::slot_id> notice(const std::vector<limited>& limits,
                                      base::instant now);

    assumed_use of(base::workspace_id workspace, base::instant now) const;

private:
    struct state {
        base::instant heard_at;
        bool stopping = false;
        bool silent = false;
        std::unordered_map<base::workspace_id, fading_rate> rates;
        std::unordered_map<base::workspace_id, double> shares;
    };

    void fall_silent(state& peer,
                     const std::vector<limited>& limits,
                     base::instant now);
    double all_rates(base::workspace_id workspace, base::instant now) const;
    double unheard_share(base::instant now) const;
    double unreported_share(double own_part) const;

    base::instant started;
    std::unordered_map<base::slot_id, state> peers;
    std::unordered_map<base::workspace_id, fading_rate> own;
    std::size_t unheard = 0;
    double unreported = 0;
    base::instant unreported_since;
};

} // namespace greengagedrum::quota
