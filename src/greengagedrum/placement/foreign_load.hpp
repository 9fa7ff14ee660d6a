// What others have on one upstream: told by peers, and by the upstream's own
// stale report.
//
// Own work is counted elsewhere, exactly; a report never lowers it. Of a
// report only the part above what this instance had there when it was taken is
// foreign, so an empty report that predates own sends says nothing about them.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <vector>

namespace greengagedrum::placement
{

class foreign_load
{
public:
    // Tokens a second at which prompts drain there.
    void drains_at(double prefill_speed) { this->speed = prefill_speed; }

    // A peer's use replaces what it told before; it counts until the peer
    // tells another or is forgotten.
    void told(base::slot_id peer,
              std::uint32_t requests,
              std::uint32_t tokens,
              base::instant now);
    void forget(base::slot_id peer);

    // `taken`: when the engine counted; figures are without own work.
    void reported(double requests, double prefill_tokens, base::instant taken);

    // This instance sent something for the sake of a low estimate: its peers,
    // who see the same reports, may do alike before anyone tells of it.
    void mirror(double requests, double tokens, base::instant now);

    // In flight there, not ours.
    double requests(base::instant now) const
    {
        return this->sums(now).requests;
    }

    // Prompt tokens of others not yet prefilled, as they drain.
    double backlog(base::instant now) const { return this->sums(now).backlog; }

private:
    struct peer_part {
        base::slot_id peer;
        std::uint32_t requests = 0;
        std::uint32_t tokens = 0;
    };

    struct summed {
        double requests = 0;
        double backlog = 0;
        base::instant until; // good for a moment: every choice asks for it
    };

    const summed& sums(base::instant now) const
    {
        if (now >= this->last.until)
            this->refresh(now);
        return this->last;
    }

    void sum_up(base::instant now);
    void refresh(base::instant now) const;

    mutable summed last;
    double speed = 1; // of prefill there
    double peer_requests = 0;
    base::instant peers_at;
    double peer_backlog = 0; // as of peers_at
    double report_requests = 0;
    double report_backlog = 0;
    base::instant report_at;
    double mirror_requests = 0;
    double mirror_tokens = 0;
    base::instant mirror_at;
    std::vector<peer_part> peers;
};

} // namespace greengagedrum::placement
