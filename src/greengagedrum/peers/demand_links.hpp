// Links to peers that are needed now and then: the home of a ticket may stand
// in another data centre, where this entry has no link by choice.
//
// It keeps what waits for such a link, for a short time: the sender repeats a
// claim that got no reply, so late ones are dropped rather than sent. Pure.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/peers/message.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace greengagedrum::peers
{

class demand_links
{
public:
    // The link is wanted from now on; `body` waits for it. False when too
    // much waits already.
    bool wait_for(base::slot_id slot, payload body, base::instant now);

    // A use of a link that may be one of these: keeps it open for longer.
    void used(base::slot_id slot, base::instant now);

    // What waited for this link and is still fresh.
    std::vector<payload> take(base::slot_id slot, base::instant now);

    // Drops what is overdue. True when `slots` has changed.
    bool expire(base::instant now);

    std::vector<base::slot_id> slots() const;

private:
    struct waiting {
        base::slot_id to;
        payload body;
        base::instant until;
    };

    static constexpr std::size_t slots_max = 64;
    static constexpr std::size_t waiting_max = 256;
    static constexpr base::duration keep_link{30'000'000};
    static constexpr base::duration keep_payload{2'000'000};

    std::map<base::slot_id, base::instant> wanted; // until when
    std::deque<waiting> queue;
};

} // namespace greengagedrum::peers
