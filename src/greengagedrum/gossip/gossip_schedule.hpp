// Decides when an entry sends its next gossip message to which group of peers.
//
// A message is sent when something has changed, but no sooner than the group's
// interval after the message before; the own data centre, the other data
// centres and the other regions have intervals of their own. Without a change a
// heartbeat is sent at a longer interval, to other regions at the same one.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/gossip/peer_table.hpp>

#include <cstddef>
#include <optional>

namespace greengagedrum::gossip
{

// Interval of messages to other regions. The load of upstreams there matters
// only to requests that no upstream of the own region would serve in time.
// Usage of a limit may be known later by this interval, a twentieth of the 8 s
// over which limits hold.
inline constexpr base::duration region_interval =
    std::chrono::milliseconds(400);

// After this time without a message, an entry of another region counts as gone:
// three messages in a row, the tick of 50 ms by which each of them may be late,
// and a pause of 100 ms of a process that has used up its processor quota.
inline constexpr base::duration region_liveness_timeout =
    std::chrono::milliseconds(1450);

class gossip_schedule
{
public:
    // Whether there are other regions to send to.
    void set_spans_regions(bool spans) { this->spans_regions = spans; }

    // Intervals of a full mesh, in which each entry sends to every other one.
    // The counts are of live peers, in the own data centre and in all.
    void set_full_mesh_intervals(std::size_t peers_in_data_centre,
                                 std::size_t all_peers);
    // Intervals of a member: an entry that delegates dispatching to a
    // dispatcher.
    void set_member_intervals();
    void set_dispatcher_intervals();

    // The state to send has changed for all groups.
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
    base::duration heartbeat_of(recipient_group group) const;

    bool spans_regions = false;
    group_state own_data_centre;
    group_state other_data_centres;
    group_state other_regions{false, {}, region_interval};
    base::duration heartbeat_interval = std::chrono::milliseconds(200);
};

} // namespace greengagedrum::gossip
