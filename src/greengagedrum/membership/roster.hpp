// Who the peers are, which of them are alive, and whether this process may
// still believe what it knows.
//
// Liveness comes from heartbeats and links; the platform's list says who
// exists, and lags. Nothing is agreed with others: two rosters may differ for
// a while, and what needs one owner must not rest on them alone.
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
    never_heard, // listed; never heard by this process
    alive,
    suspect, // its link is lost or nothing came for a while
    leaving, // it said so itself, or is listed so
    gone     // nothing came for long, or it left
};

struct roster_options {
    base::slot_id slot;
    base::incarnation incarnation;
    base::data_centre_id data_centre;
    base::duration lease{3'000'000};         // longest unnoticed pause
    base::duration suspect_after{3'500'000}; // the slowest pace, thrice
    base::duration gone_after{6'000'000};
};

struct peer_view {
    base::slot_id slot;
    base::data_centre_id data_centre;
    base::incarnation incarnation; // zero: none heard
    peer_state state = peer_state::never_heard;
    bool listed = false;
    bool linked = false;
    std::uint64_t config_revision = 0; // as its last heartbeat told
    std::uint64_t list_revision = 0;
    base::platform_reachability platform = base::platform_reachability::unknown;
    std::optional<base::duration> silence; // since its last heartbeat
};

// A peer whose state has changed.
struct state_change {
    base::slot_id slot;
    peer_state state = peer_state::never_heard;
};

class roster
{
public:
    explicit roster(const roster_options& given);

    // True when the list is newer than the one held; any other is ignored: a
    // service that failed over may answer an older one.
    bool update_list(instance_list list, base::instant now);

    // False when the heartbeat is not believed: of an old life, or late.
    bool receive_heartbeat(const heartbeat& received, base::instant now);

    // A higher life of any slot, our own included, known by a peer.
    void learn_incarnation(base::slot_id slot, base::incarnation incarnation);

    void link_up(base::slot_id slot,
                 base::incarnation incarnation,
                 base::instant now);
    void link_down(base::slot_id slot, base::instant now);
    void tick(base::instant now);

    void start_leaving() { this->is_leaving = true; }

    // The own heartbeat, of the next number.
    heartbeat next_heartbeat(std::uint64_t config_revision,
                             base::platform_reachability platform =
                                 base::platform_reachability::unknown);

    // True when a heartbeat should go at once rather than in its turn.
    bool heartbeat_is_urgent() const
    {
        return this->incarnations.has_unsent_replacement();
    }

    // After a pause longer than the lease, until a peer is heard on a link
    // made since. While it is set, what this process knows may be old.
    bool paused() const { return this->is_paused; }

    // The platform answered what was asked at `asked`. It ends a pause only
    // where the list holds no other entry that could be heard.
    void on_platform_response(base::instant asked);

    // Counts pauses; when it rises, all links are to be closed: what waits in
    // them was sent before the wake and must not count as heard after it.
    std::uint32_t pause_count() const { return this->pauses; }

    // Another process has been started in our slot. Never taken back.
    bool superseded() const;

    base::incarnation highest_incarnation(base::slot_id slot) const;
    // Empty for a slot that is not known or not listed yet.
    base::data_centre_id data_centre_of(base::slot_id slot) const;
    std::vector<link_target> links_wanted() const;
    send_intervals current_intervals() const;

    // Place of the own slot among the live ones of the data centre, from 0;
    // none while leaving, superseded or not listed.
    std::optional<std::size_t> rank() const;
    std::size_t alive_count() const; // in the data centre, with ourselves

    // Other listed slots of the data centre, and those heard since `when`.
    std::size_t listed_peer_count() const;
    std::size_t heard_peer_count(base::instant since) const;

    // True when peers of it were heard once and all are silent now. One silent
    // instance has died; a silent data centre is more likely cut off.
    bool data_centre_silent(base::data_centre_id data_centre) const;

    const instance_list& list() const { return this->current_list; }

    // Peers that are still behind our list and are to be sent it now; each is
    // named once for a revision.
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
        std::uint64_t list_revision_sent = 0;        // revision passed on to it
        std::optional<base::instant> last_heartbeat; // its last heartbeat
        std::optional<base::instant> silent_since;   // from when silence counts
    };

    void detect_pause(base::instant now);
    void enter_pause(base::instant now);
    void update_state(base::slot_id slot, peer_record& peer, base::instant now);
    peer_state state_of(const peer_record& peer, base::instant now) const;
    bool is_live_and_local(const peer_record& peer) const;

    roster_options options;
    incarnation_table incarnations;
    instance_list current_list;
    std::map<base::slot_id, peer_record> peers_by_slot; // without ourselves
    std::vector<state_change> changes;
    std::optional<base::instant> last_clock_reading;
    base::instant resumed_at;
    base::instant list_forward_due; // when to pass the list on
    std::uint64_t sequence = 0;
    std::uint32_t pauses = 0;
    bool is_paused = false;
    bool is_leaving = false;
    bool own_listed = false;
};

} // namespace greengagedrum::membership
