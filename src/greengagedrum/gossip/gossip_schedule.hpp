// When an entry tells its next message to whom.
//
// Messages are told at changes, but not closer to each other than a gap, which
// differs between the own data centre and the others; without a change they are
// told now and then as a sign of life.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/peer_table.hpp>

#include <cstddef>
#include <optional>

namespace greengagedrum::gossip
{

class gossip_schedule
{
public:
    // Live peers of the own data centre, and of all.
    void set_peers(std::size_t near, std::size_t all);
    // The same where one entry of each data centre places for all.
    void set_member();
    void set_dispatcher();

    // There is something to tell.
    void changed();
    void told(recipient_group who, base::instant now);

    bool is_due(recipient_group who, base::instant now) const;
    // When a change that is to be told becomes due; empty: there is none.
    std::optional<base::instant> next() const;

    base::duration gap(recipient_group who) const;

private:
    struct telling {
        bool has_news = false;
        base::instant told_at;
        base::duration gap = std::chrono::milliseconds(10);
    };

    const telling& of(recipient_group who) const;

    telling near;
    telling far;
    base::duration quiet_gap = std::chrono::milliseconds(200);
};

} // namespace greengagedrum::gossip
