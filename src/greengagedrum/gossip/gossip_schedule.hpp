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
    void set_full_mesh_intervals(std::size_t peers_in_data_centre,
                                 std::size_t all_peers);
    // The same where one entry of each data centre places for all.
    void set_member_intervals();
    void set_dispatcher_intervals();

    // There is something to tell.
    void on_change();
    void on_sent(recipient_group group, base::instant now);

    bool is_due(recipient_group group, base::instant now) const;
    // When a change that is to be told becomes due; empty: there is none.
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
