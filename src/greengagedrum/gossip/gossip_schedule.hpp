// Decides when an entry sends its next gossip message to which group of peers.
//
// A message is sent when something has changed, but no sooner than the group's
// interval after the message before; the own data centre and the other data
// centres have intervals of their own. Without a change a heartbeat is sent at
// a longer interval.
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
    // Intervals of a full mesh, in which each entry sends to every other one.
    // The counts are of live peers, in the own data centre and in all.
    void set_full_mesh_intervals(std::size_t peers_in_data_centre,
                                 std::size_t all_peers);
    // Intervals of a member: an entry that delegates dispatching to a
    // dispatcher.
    void set_member_intervals();
    void set_dispatcher_intervals();

    // The state to send has changed for both groups.
    void on_change();
    void on_sent(recipient_group group, base::instant now);

    bool is_due(recipient_group group, base::instant now) const;
    // The earliest time at which a pending change may be sent; empty if no
    // change is pending.
    std::optional<base::instant> next_due() const;

    base::duration interval(recipient_group group) const;

private:
    struct group_state {
        bool change_pending = false;
        base::instant sent_at;
        base::duration interval = std::chrono::milliseconds(10);
    };

    const group_state& state_of(recipient_group group) const;

    group_state own_data_centre;
    group_state other_data_centres;
    base::duration heartbeat_interval = std::chrono::milliseconds(200);
};

} // namespace greengagedrum::gossip
