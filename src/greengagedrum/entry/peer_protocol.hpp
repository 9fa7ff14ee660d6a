// Speaks with the other entries: messages by datagram, items of the store on
// request.
//
// Each message is whole, so a lost datagram is made good by the next, and a
// connection that has gone silent can't be mistaken for a peer that has. Among
// few entries each tells all others; among many, peer_sending.cpp says who
// tells whom, and peer_roles.cpp what each of them is.
#pragma once

#include <greengagedrum/entry/peer_transport.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/gossip/dispatcher_election.hpp>
#include <greengagedrum/gossip/gossip_schedule.hpp>
#include <greengagedrum/gossip/peer_table.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::entry
{

struct peer_events {
    // A peer's load has changed: places may be free.
    std::function<void()> peer_load_changed;
    // A peer passed items of the store.
    std::function<void(const gossip::item_transfer&)> items_received;
    // Another entry places this one's requests from now on.
    std::function<void()> delegation_started;
    // None does any more; so many entries may let requests through unheard.
    // `known`: what the one that did knew of limits, if it told lately.
    std::function<void(std::size_t unheard, const limit_handover* known)>
        delegation_ended;
    // What the entry that places is told, and what it replied.
    std::function<dispatch::member_report()> make_report;
    std::function<void(const dispatch::dispatcher_reply&)> reply_received;
    // A member's report, with the loads that it sees, and a member's end.
    std::function<void(base::slot_id, const gossip::message&)> report_received;
    std::function<void(base::slot_id)> member_lost;
    // Members that are to be told something, and what.
    std::function<std::vector<base::slot_id>()> members_awaiting_reply;
    std::function<dispatch::dispatcher_reply(base::slot_id)> make_reply;
};

// What an entry asks a peer for: items above a revision of the store, or, of a
// life of that peer, what changed after so many changes.
struct item_query {
    std::uint64_t position = 0;
    std::optional<base::incarnation> incarnation;
};

// The target under which it is asked, and its reading.
std::string item_query_target(const item_query& query);
std::optional<item_query> parse_item_query(std::string_view target);

class peer_protocol
{
public:
    peer_protocol(const settings& given,
                  base::incarnation incarnation,
                  shared_state& state,
                  peer_events events,
                  peer_transport transport);

    // A datagram arrived; `from` is for the log.
    void on_message(std::string_view bytes, const std::string& from);

    // The time that the transport was told has passed.
    void on_timer();

    // Tells soon, but not sooner than the least gap after the last message.
    void schedule_gossip();

    // This entry stops: others are to place for it and in its place.
    void begin_stop();

    // Time has passed: tells, notices who fell silent, asks a peer for what
    // the store does not give.
    void tick(bool store_fails);

    // Another entry is to read the store for this one, and what was heard of
    // it lately shows that someone does.
    bool peer_reads_store() const;
    void record_store_answer()
    {
        this->own_store_answer_at = this->state.clock();
    }

    void apply_settings(const settings& given);

    std::size_t live_peers() const;
    std::size_t recently_live_peers() const;

private:
    void send_due();
    void send_load(gossip::recipient_group who);
    void set_timer();
    gossip::message make_message(gossip::message_kind kind);
    gossip::message make_load_message(gossip::recipient_group who);

    // ---- Among many entries
    void merge_suspects(const gossip::message& received, base::instant now);
    std::vector<quarantine::suspect_report>
    suspects_to_send(base::instant& sent_all_at, base::instant now);
    void on_load(const gossip::message& received, base::instant now);
    void on_report(const gossip::message& received, base::instant now);
    void on_reply(const gossip::message& received, base::instant now);
    void answer_dispatcher_query(const gossip::message& received,
                                 base::instant now);
    void sync_with_dispatcher(const gossip::message& received,
                              base::instant now);
    void fetch_from_dispatcher(const gossip::message& received,
                               base::instant now);
    void on_limits(const gossip::message& received, base::instant now);
    std::size_t unheard_in_data_centre(base::instant now) const;
    std::size_t members_reporting(base::instant now) const;
    double unreported_share(base::instant now) const;
    base::duration store_answer_max_age() const;
    bool dispatcher_reads_store(base::duration bound, base::instant now) const;
    bool is_serving_members() const;
    void update_role(base::instant now);
    void set_role(bool delegating, base::instant now);
    void update_counts(base::instant now);
    void track_uptime(base::instant now);
    bool dispatches_for_half(base::instant now) const;
    traffic::slow_start_share compute_slow_start_share(base::instant now) const;
    void update_slow_start_share(base::instant now);
    void update_counts_with_dispatchers(base::instant now);
    void forget_replaced_dispatchers(base::instant now);
    void send_due_with_dispatchers(base::instant now);
    bool is_report_overdue(base::instant now) const;
    void send_report(base::instant now);
    void send_to_members(base::instant now);
    void hand_over_limits(base::instant now);
    void send_replies();
    void send_to_other_data_centres(base::instant now);
    void query_silent(base::instant now);
    void send_dispatcher_query(const std::vector<gossip::ipv4_address>& targets,
                               base::instant now);
    void probe_silent(base::instant now);
    void fetch_if_outdated(base::instant now);
    void fetch_items(gossip::ipv4_address of,
                     const item_query& query,
                     base::instant now);

    settings own_settings;
    base::incarnation incarnation;
    shared_state& state;
    peer_events events;
    peer_transport transport;
    gossip::peer_table table;
    std::uint64_t sequence = 0;
    gossip::gossip_schedule schedule;
    std::optional<base::instant> timer_due_at; // by the transport
    base::instant checked_at;
    base::instant fetch_started_at;
    base::instant own_store_answer_at; // the store's last answer, to this entry
    base::instant peer_store_answer_at; // the same of its peers, the newest
    std::uint64_t source_rotation = 0;
    bool fetching = false;
    // When suspects that are not news were last sent.
    base::instant near_suspects_sent_at;
    base::instant far_suspects_sent_at;
    base::instant member_suspects_sent_at;

    // What an entry believed, and after which of its changes.
    struct change_position {
        base::incarnation incarnation;
        std::uint64_t changes = 0;
    };

    struct member {
        gossip::ipv4_address address = 0;
        base::instant heard_at;
    };

    gossip::dispatcher_election election;
    base::instant started_at;    // this process
    base::instant running_since; // without a pause
    base::instant counted_at;
    base::instant
        half_dispatched_since; // placing for half of its data centre, or more
    traffic::slow_start_share current_share; // of cold upstreams; none at first
    bool uses_dispatchers = false;
    std::optional<gossip::ipv4_address> dispatcher; // none: this entry
    base::instant dispatcher_seen_at;               // when there was one last
    base::instant dispatching_since;                // this entry, by itself
    change_position synced_position; // to this entry, by whoever was asked last
    std::uint64_t dispatcher_digest = 0;
    base::instant reported_at;
    std::uint64_t unanswered_report = 0; // by sequence; 0: none
    base::instant heartbeat_at;
    base::instant query_sent_at;
    std::size_t next_to_query = 0;
    std::uint32_t role_notices_left =
        0; // still to be told to other data centres
    std::size_t unheard_at_takeover = 0;
    // As the dispatcher told them last, to one that is next in line.
    std::optional<limit_handover> received_limits;
    std::unordered_map<base::slot_id, member> members;
    // Others that place, of which the limiter was told.
    std::unordered_map<base::slot_id, gossip::ipv4_address> counted_dispatchers;
    struct entry_counts {
        std::size_t dispatchers = 0;
        std::size_t unheard = 0;
        bool operator==(const entry_counts&) const = default;
    };
    entry_counts logged_counts;
    std::unordered_map<gossip::ipv4_address, base::instant> query_answered_at;
};

} // namespace greengagedrum::entry
