// The peer entries, their liveness, and whether the knowledge of this process
// is current.
//
// Liveness comes from heartbeats and links. The platform's list says which
// instances exist, and lags behind. There is no consensus: the rosters of two
// entries may differ for a while, so anything that needs a single owner must
// not rely on the roster alone.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/membership/incarnation_table.hpp>
#include <greengagedrum/membership/link_choice.hpp>
#include <greengagedrum/membership/messages.hpp>
#include <greengagedrum/membership/send_intervals.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengagedrum::membership
{

enum class peer_state : std::uint8_t {
    never_heard, // listed; no heartbeat received by this process
    alive,
    suspect, // link lost, or no heartbeat for `suspect_after`
    leaving, // by its own heartbeat, or in the platform's list
    gone     // no heartbeat for `gone_after`, or has left
};

struct roster_options {
    base::slot_id slot;
    base::incarnation incarnation;
    base::data_centre_id data_centre;
    base::duration lease{3'000'000}; // longer pauses are noticed
    // Three missed heartbeats at the longest interval.
    base::duration suspect_after{3'500'000};
    base::duration gone_after{6'000'000};
};

// What the roster knows of one peer.
struct peer_view {
    base::slot_id slot;
    base::data_centre_id data_centre;
    base::incarnation incarnation; // zero: no heartbeat received
    peer_state state = peer_state::never_heard;
    bool listed = false;
    bool linked = false;
    std::uint64_t config_revision = 0; // as of its last heartbeat
    std::uint64_t list_revision = 0;
    base::platform_reachability platform = base::platform_reachability::unknown;
    std::optional<base::duration> silence; // since its last heartbeat
};

// A peer whose state has changed.
struct state_change {
    base::slot_id slot;
    peer_state state = peer_state::never_heard;
};

// The membership of one entry process. Takes the current time with each call
// and reads no clock.
class roster
{
public:
    explicit roster(const roster_options& given);

    // True if `list` is newer than the current one. Any other is ignored, since
    // the platform's service may return an older list after a failover.
    bool update_list(instance_list list, base::instant now);

    // False if the heartbeat is ignored: from an old incarnation, not newer
    // than the last one, or received on an old link while paused.
    bool receive_heartbeat(const heartbeat& received, base::instant now);

    // Takes note of an incarnation reported by a peer, for any slot, including
    // the own one.
    void learn_incarnation(base::slot_id slot, base::incarnation incarnation);

    void link_up(base::slot_id slot,
                 base::incarnation incarnation,
                 base::instant now);
    void link_down(base::slot_id slot, base::instant now);
    void tick(base::instant now);

    void start_leaving() { this->is_leaving = true; }

    // The next message to send to peers: a heartbeat with the next sequence
    // number.
    heartbeat next_message(std::uint64_t config_revision,
                           base::platform_reachability platform =
                               base::platform_reachability::unknown);

    // Whether to send the next heartbeat now rather than after the interval.
    bool heartbeat_is_urgent() const
    {
        return this->incarnations.has_unsent_replacement();
    }

    // True after a pause longer than the lease, until a heartbeat arrives on a
    // link opened since. While paused, the knowledge of this process may be
    // stale.
    bool paused() const { return this->is_paused; }

    // The platform answered the request sent at `asked`. Ends a pause only if
    // the list holds no other entry whose heartbeat could end it.
    void on_platform_response(base::instant asked);

    // Pauses so far. When the count rises, the caller must close all links:
    // bytes waiting in them were sent before the pause ended and must not count
    // as received after it.
    std::uint32_t pause_count() const { return this->pauses; }

    // Whether another process was started in the own slot. Never reset.
    bool superseded() const;

    base::incarnation highest_incarnation(base::slot_id slot) const;
    // Empty for a slot that is unknown or not listed yet.
    base::data_centre_id data_centre_of(base::slot_id slot) const;
    std::vector<link_target> links_wanted() const;
    send_intervals current_intervals() const;

    // Position of the own slot among the live slots of the data centre, ordered
    // by slot id, from 0. Empty while leaving, superseded or not listed.
    std::optional<std::size_t> rank() const;
    std::size_t alive_count() const; // in the data centre, including self

    // Other listed slots of the own data centre, and how many of them sent a
    // heartbeat since `since`.
    std::size_t listed_peer_count() const;
    std::size_t heard_peer_count(base::instant since) const;

    // True if heartbeats came from peers in `data_centre` and all these peers
    // are silent now. A single silent instance has died, but a silent data
    // centre is more likely partitioned.
    bool data_centre_silent(base::data_centre_id data_centre) const;

    const instance_list& list() const { return this->current_list; }

    // Linked peers that have an older list and are to be sent the current one
    // now. Returns each peer once per revision.
    std::vector<base::slot_id> list_receivers(base::instant now);

    std::vector<peer_view> peers(base::instant now) const;
    std::vector<state_change> take_changes();

private:
    struct peer_record {
        base::data_centre_id data_centre;
        bool listed = false;
        bool listed_leaving = false;
        bool announced_leaving = false;
        bool linked = false;
        peer_state state = peer_state::never_heard;
        base::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::uint64_t config_revision = 0;
        std::uint64_t list_revision = 0;
        base::platform_reachability platform =
            base::platform_reachability::unknown;
        std::uint64_t list_revision_sent = 0;        // last one sent to it
        std::optional<base::instant> last_heartbeat; // arrival
        std::optional<base::instant> silent_since;   // start of silence
    };

    void detect_pause(base::instant now);
    void enter_pause(base::instant now);
    void update_state(base::slot_id slot, peer_record& peer, base::instant now);
    peer_state state_of(const peer_record& peer, base::instant now) const;
    bool is_live_and_local(const peer_record& peer) const;

    roster_options options;
    incarnation_table incarnations;
    instance_list current_list;
    std::map<base::slot_id, peer_record> peers_by_slot; // excluding self
    std::vector<state_change> changes;
    std::optional<base::instant> last_clock_reading;
    base::instant resumed_at;
    base::instant list_forward_due; // when to forward the list
    std::uint64_t sequence = 0;
    std::uint32_t pauses = 0;
    bool is_paused = false;
    bool is_leaving = false;
    bool own_listed = false;
};

} // namespace greengagedrum::membership
