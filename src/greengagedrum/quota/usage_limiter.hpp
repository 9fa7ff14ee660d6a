// Keeps each workspace within its limit over all entries together, without
// refusing what is within it.
//
// A request is let through when a token bucket of the published rate and burst
// has its cost, or when all that was let through in the operator's window,
// this included, is within rate times window plus burst. Either alone bounds
// every window by that sum, so both together do: the window lets bursts pass
// that the bucket would refuse, and the bucket lets work go on at the rate when
// a limit was lowered with the window still full.
//
// Each entry counts what it let through and what its peers tell that they did.
// Nothing is divided among entries, since callers are spread unevenly over
// them. A part of what the operator tolerates covers the time that a peer's
// word takes.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/routing/configuration.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace greengagedrum::quota
{

// What one entry let through since its start, in the limit's unit.
struct workspace_use {
    base::workspace_id workspace;
    std::uint64_t used = 0;
};

struct tolerance {
    base::duration window = std::chrono::seconds(8);
    double overshoot = 0; // share of the limit
    double slack = 0;     // in the limit's unit, over all entries
};

class usage_limiter
{
public:
    explicit usage_limiter(base::instant started) : started(started) {}

    void set_tolerance(const tolerance& given) { this->allowed = given; }
    void set_limits(const routing::configuration& config, base::instant now);

    // Empty: the request is within the limit and was counted. Else when to
    // come back.
    std::optional<base::duration>
    take(base::workspace_id workspace, double cost, base::instant now);

    // It was not run after all.
    void
    give_back(base::workspace_id workspace, double cost, base::instant now);

    void peer_told(base::slot_id peer,
                   base::incarnation life,
                   std::span<const workspace_use> uses,
                   base::instant now);

    // Assumes of peers that fell silent that they go on as before.
    //
    // Failure guarded against: a cut between data centres. Each side would
    // take the silence of the other for idleness and let a busy workspace have
    // its limit twice.
    void assume_silent_peers(base::instant now);

    std::vector<workspace_use> own_uses() const;
    // Below zero: overdrawn. For the log.
    double level(base::workspace_id workspace) const;

private:
    struct use {
        base::instant at;
        double amount = 0;
    };

    struct bucket {
        routing::usage_limit limit;
        double level = 0;
        base::instant filled_at;
        double own = 0;         // let through since the start
        std::deque<use> recent; // within the window, all entries'
        double recent_sum = 0;
    };

    struct peer_use {
        double counted = 0; // of its uses, taken out of the bucket
        double rate = 0;    // a second, lately
    };

    struct peer_state {
        base::incarnation life;
        base::instant heard_at;
        base::instant assumed_at;
        std::unordered_map<base::workspace_id, peer_use> uses;
    };

    static void fill(bucket& own, base::instant now);
    void drop_old(bucket& own, base::instant now) const;
    static void count(bucket& own, double amount, base::instant now);
    double margin(const bucket& own, base::instant now) const;
    base::duration
    until_allowed(const bucket& own, double cost, base::instant now) const;
    void
    take_out(base::workspace_id workspace, double amount, base::instant now);

    base::instant started;
    tolerance allowed;
    std::unordered_map<base::workspace_id, bucket> buckets;
    std::unordered_map<base::slot_id, peer_state> peers;
};

} // namespace greengagedrum::quota
