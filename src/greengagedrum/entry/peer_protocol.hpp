// Communication with the other entries: state messages by datagram, and
// configuration items on request over HTTP.
//
// Each message carries the sender's complete state, so the next message repairs
// the loss of a datagram, and liveness does not depend on connections that may
// hang. In a small fleet each entry sends to all others. In a large fleet one
// entry per data centre, the dispatcher, dispatches the requests of all entries
// there, its members: peer_sending.cpp decides who sends to whom,
// peer_roles.cpp which role this entry has.
#pragma once

#include <greengagedrum/entry/item_query.hpp>
#include <greengagedrum/entry/peer_paths.hpp>
#include <greengagedrum/entry/peer_transport.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/settings.hpp>
#include <greengagedrum/entry/store_duty.hpp>
#include <greengagedrum/entry/transfer_sources.hpp>
#include <greengagedrum/gossip/dispatcher_election.hpp>
#include <greengagedrum/gossip/duty_fitness.hpp>
#include <greengagedrum/gossip/gossip_schedule.hpp>
#include <greengagedrum/gossip/peer_table.hpp>
#include <greengagedrum/quarantine/suspect_inquiry.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::entry
{

struct peer_events {
    // A peer's load has changed, so upstream slots may be free.
    std::function<void()> peer_load_changed;
    // A peer sent configuration items of the store.
    std::function<void(const gossip::item_transfer&)> items_received;
    // All items of the store as of this revision have come from peers.
    std::function<void(std::uint64_t as_of)> listing_received =
        [](std::uint64_t /* as_of */) {};
    // Another entry dispatches this entry's requests from now on.
    std::function<void()> delegation_started;
    // This entry dispatches its own requests again. `unheard`: entries and data
    // centres never heard, which may send requests without this entry's
    // knowledge. `known`: the former dispatcher's limit state if it arrived
    // recently, else null.
    std::function<void(std::size_t unheard, const limit_handover* known)>
        delegation_ended;
    // The report to the dispatcher, and the dispatcher's reply.
    std::function<dispatch::member_report()> make_report;
    std::function<void(const dispatch::dispatcher_reply&)> reply_received;
    // A member's report, with the upstream loads that it sees, and the loss of
    // a member.
    std::function<void(base::slot_id, const gossip::message&)> report_received;
    std::function<void(base::slot_id)> member_lost;
    // Members that are owed a reply, and the reply to one of them.
    std::function<std::vector<base::slot_id>()> members_awaiting_reply;
    std::function<dispatch::dispatcher_reply(base::slot_id)> make_reply;
    // Another entry's records of streams, question or answer.
    std::function<void(const versions::message&, gossip::ipv4_address from)>
        stream_message_received =
            [](const versions::message&, gossip::ipv4_address) {};
};

class peer_protocol
{
public:
    peer_protocol(const settings& given,
                  base::incarnation incarnation,
                  shared_state& state,
                  peer_events events,
                  peer_transport transport);

    // Handles a received datagram; `from` is only logged.
    void on_message(std::string_view bytes, const std::string& from);

    // The timer started through the transport has expired.
    void on_timer();

    // Marks this entry's state as changed. The next message is sent as soon as
    // the minimum gap since the last one allows.
    void schedule_gossip();

    // This entry shuts down: others are to dispatch its requests and take over
    // its role.
    void begin_stop();

    // Sends what is due, detects silent peers and fetches from a peer the items
    // that the store does not deliver.
    void tick(bool store_fails);

    // True if a peer is responsible for reading the store for this entry and
    // its recent messages show that it does.
    bool peer_reads_store() const;

    // True while another entry is expected to pass on the first listing of the
    // store. Only in deployments of several regions.
    bool awaits_listing() const;

    // Whether this entry is to measure how far the store is.
    bool measures_store() const;
    void record_store_connect(base::duration took)
    {
        this->duty.record_connect(took);
    }
    void record_store_answer()
    {
        this->own_store_answer_at = this->state.clock();
    }

    // Whether this entry still asks peers what is quarantined. It is not ready
    // before, and sends no request that could be.
    bool awaits_quarantine() const { return this->inquiry.pending(); }

    // The body of the answer to a peer's query: items, or a referral.
    std::string answer(const item_query& query);

    void apply_settings(const settings& given);

    std::size_t live_peers() const;
    // Entries that may take this entry's requests, with the port at which they
    // do.
    std::vector<reachable_peer> serving_peers() const;
    // False for an entry that isn't known.
    bool is_stopping(const std::string& ip) const;
    // The same entries, for records of streams.
    std::vector<versions::known_entry> entries_for_records() const;
    void send_stream_message(const versions::message& sent,
                             gossip::ipv4_address to);
    // When the store last answered this entry or a peer that told it so.
    base::instant store_confirmed_at() const
    {
        return std::max(this->own_store_answer_at, this->peer_store_answer_at);
    }
    // Whether that address is known as an entry's.
    bool knows_entry(const std::string& ip) const;
    std::size_t recently_live_peers() const;
    // Counts the bytes of a request and its response if its upstream or the
    // peer by which it was sent is in another region; `peer` is empty for a
    // direct send.
    void count_request_bytes(base::data_centre_id upstream,
                             const std::string& peer,
                             std::uint64_t bytes);
    // False unless duties are assigned by load.
    bool is_congested() const
    {
        return this->duties_by_load && this->fitness.is_congested();
    }

private:
    // Messages between regions are sent less often, and may be lost.
    static constexpr base::duration far_message_delay =
        std::chrono::milliseconds(1000);

    std::map<gossip::ipv4_address, base::data_centre_id>
    serving_entries() const;
    void on_stream_message(std::string_view bytes, const std::string& from);
    void log_unreadable(std::string_view bytes, const std::string& from);
    void send_due();
    void send_load(gossip::recipient_group recipients);
    void send_datagram(std::string_view bytes, gossip::ipv4_address to);
    void send_load_to(const std::vector<gossip::ipv4_address>& recipients,
                      const gossip::message& load);
    void set_timer();
    void observe_load(base::instant now);
    void announce_congestion(bool congested, base::instant now);
    bool paused_lately(base::instant now) const;
    gossip::message make_message(gossip::message_kind kind);
    gossip::message make_answer(gossip::message_kind kind,
                                base::incarnation recipient);
    bool is_for_another_process(const gossip::message& received) const;
    gossip::message make_load_message(gossip::recipient_group recipients);

    void merge_suspects(const gossip::message& received, base::instant now);
    void merge_rate_limits(const gossip::message& received, base::instant now);
    std::vector<quarantine::suspect_report>
    suspects_to_send(base::instant& sent_all_at, base::instant now);
    void begin_suspect_inquiry(base::instant now);
    void advance_suspect_inquiry(base::instant now);
    quarantine::suspect_inquiry::peers peers_to_ask(base::instant now) const;
    void send_suspect_query(const quarantine::suspect_inquiry::question& sent);
    void answer_suspect_query(const gossip::message& received,
                              base::instant now);
    void on_suspect_page(const gossip::message& received, base::instant now);
    void on_load(const gossip::message& received, base::instant now);
    void on_report(const gossip::message& received, base::instant now);
    void on_reply(const gossip::message& received, base::instant now);
    void answer_dispatcher_query(const gossip::message& received,
                                 base::instant now);
    void sync_with_followed(const gossip::message& received, base::instant now);
    void fetch_from_followed(const gossip::message& received,
                             base::instant now);
    void on_limits(const gossip::message& received, base::instant now);
    void state_limit_needs(gossip::message& sent, base::instant now);
    void answer_limit_needs(const gossip::message& received, base::instant now);
    void accept_limit_grant(const gossip::message& received, base::instant now);
    std::size_t unheard_in_data_centre(base::instant now) const;
    std::size_t members_reporting(base::instant now) const;
    double unreported_share(base::instant now) const;
    base::duration store_answer_max_age() const;
    bool followed_reads_store(base::duration bound, base::instant now) const;
    std::optional<gossip::ipv4_address> followed_entry(base::instant now) const;
    void update_followed(base::instant now);
    void track_store_outage(base::duration store_age, base::instant now);
    base::duration own_store_age(base::instant now) const;
    bool is_standby(base::instant now) const;
    bool is_serving_members() const;
    void update_role(base::instant now);
    bool expects_dispatcher(base::instant now);
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
    void send_to_dispatchers(gossip::recipient_group recipients,
                             base::instant now);
    bool is_query_due(gossip::ipv4_address silent_seed,
                      bool to_other_regions) const;
    void query_silent(base::instant now);
    void send_dispatcher_query(const std::vector<gossip::ipv4_address>& targets,
                               base::instant now);
    void probe_silent(base::instant now);
    void fetch_if_outdated(base::instant now);
    void
    fetch_items(gossip::ipv4_address of, item_query query, base::instant now);
    void on_fetched(gossip::ipv4_address from, const relay::fetched& got);
    void on_referral(gossip::ipv4_address from,
                     const gossip::transfer_referral& referral);
    void log_failed_fetch(gossip::ipv4_address from, const std::string& why);
    item_query newer_items_query() const;
    std::vector<configuration_holder> configuration_holders() const;

    settings own_settings;
    base::incarnation incarnation;
    shared_state& state;
    peer_events events;
    peer_transport transport;
    gossip::peer_table table;
    routing::region_distances regions;
    std::uint64_t sequence = 0;
    gossip::gossip_schedule schedule;
    std::optional<base::instant> timer_due_at; // of the transport's timer
    base::instant checked_at;
    base::instant fetch_started_at;
    // Newest answers of the store, to this entry and to any peer.
    base::instant own_store_answer_at;
    base::instant peer_store_answer_at;
    std::uint64_t source_rotation = 0;
    bool fetching = false;
    // The last answer could not be decompressed: the next one has no reference.
    bool reference_failed = false;
    // When unchanged crash suspects were last sent.
    std::array<base::instant, gossip::recipient_group_count> suspects_sent_at{};
    base::instant member_suspects_sent_at;
    quarantine::suspect_inquiry inquiry;

    // A position in the change history of one incarnation of a peer.
    struct change_position {
        base::incarnation incarnation;
        std::uint64_t changes = 0;
    };

    struct member {
        gossip::ipv4_address address = 0;
        base::incarnation incarnation;
        base::instant heard_at;
        std::uint64_t configuration_revision = 0;
        std::uint64_t link_bytes_per_second = 0; // 0: unknown
        bool congested = false;
    };

    gossip::dispatcher_election election;
    gossip::duty_fitness fitness;
    bool congestion_announced = false;
    bool duties_by_load = false; // see settings
    base::instant ticked_at;
    base::instant late_tick_at;
    base::instant started_at;    // start of this process
    base::instant running_since; // start of operation without a pause
    base::instant counted_at;
    base::instant
        // Since when this entry dispatches for at least half of its data
        // centre.
        half_dispatched_since;
    // This entry's share of the requests to cold upstreams; at first none.
    traffic::slow_start_share current_share;
    bool uses_dispatchers = false;
    std::optional<gossip::ipv4_address> dispatcher; // empty: this entry
    base::instant dispatcher_seen_at;               // when there last was one
    base::instant dispatching_since;                // this entry itself
    // What this entry has received from the peer queried last.
    change_position synced_position;
    std::uint64_t followed_digest = 0;
    // Newest answer of the store that the state of this entry reflects, known
    // from the entry that it follows.
    base::instant followed_answer_at;
    std::optional<gossip::ipv4_address> followed; // as logged
    base::instant items_received_at;
    store_duty duty;
    bool several_regions = false;
    base::instant reported_at;
    std::uint64_t unanswered_report = 0; // sequence number; 0: none
    base::instant heartbeat_at;
    base::instant query_sent_at;
    base::instant region_query_sent_at; // to seeds of other regions
    std::size_t next_to_query = 0;
    std::uint32_t role_notices_left =
        // Messages still to be sent to other data centres to announce that this
        // entry no longer dispatches.
        0;
    std::size_t unheard_at_takeover = 0;
    // Last received from the dispatcher, if this entry is one of its standby
    // entries.
    std::optional<limit_handover> received_limits;
    std::unordered_map<base::slot_id, member> members;
    transfer_sources sources;
    // Other dispatchers whose usage the limiter counts.
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
