// The thread that speaks with the peers: it owns the mesh and the roster.
//
// Other threads hand it what to say through a bounded ring; what it hears goes
// to the decision thread's inbox and to the configuration thread. It decides
// nothing about requests. What may be lost and is repeated by its sender
// (claims, heartbeats, loads) is dropped and counted when a ring is full; what
// may not (a newer list, a lost peer) waits for room.
#pragma once

#include <greengagedrum/callers/inbox.hpp>
#include <greengagedrum/membership/roster.hpp>
#include <greengagedrum/peers/demand_links.hpp>
#include <greengagedrum/peers/load_delta.hpp>
#include <greengagedrum/peers/mesh.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace greengagedrum::daemon
{

class config_thread;

struct peer_duty_options {
    membership::roster_options roster; // slot, life, data centre, lease
    std::string address;               // "IP:port" to listen at
    std::string key;
    std::optional<std::string> previous_key;
    std::uint64_t seed = 0;
    std::size_t ring = 4096;

    // Ask a peer whose heartbeat tells a higher revision for its documents.
    // Off when another part (a spreader) decides whom to ask and when.
    bool pull_documents = true;
    // A peer's documents have been offered to the configuration thread; on
    // the duty's own thread.
    std::function<void(base::slot_id)> documents_came;
};

// As of the last look, about twice a second.
struct peer_status {
    std::vector<membership::peer_view> peers;
    std::map<base::slot_id, peers::peer_counters> counters;
    std::optional<std::size_t> rank; // among the live ones, from 0
    std::size_t alive = 0;           // in the data centre, with ourselves
    std::size_t others_listed = 0;   // in the data centre
    std::uint64_t list_revision = 0;
    std::uint64_t strangers_refused = 0;
    std::uint64_t events_dropped = 0; // the inbox was full
    std::uint64_t claims_unsent = 0;  // no link, or its queue was full
    std::uint32_t pauses = 0;
};

class peer_duty
{
public:
    peer_duty(const peer_duty_options& given,
              callers::inbox& inbox,
              config_thread& store);
    ~peer_duty();
    peer_duty(const peer_duty&) = delete;
    peer_duty& operator=(const peer_duty&) = delete;

    // False when the address can't be bound; no thread runs then.
    bool start();
    // Tells peers that we leave, then ends all links and the thread.
    void stop();

    // All below may be called by any thread; false when the ring is full.
    bool send_claim(const delivery::send_claim_message& what);
    // The whole load of this entry; only the changes go out.
    bool tell_load(capacity::load_digest whole);
    // A list from the platform. It reaches the inbox if it is newer.
    bool offer_list(membership::instance_list list);
    // The platform answered a question asked at `asked`; `names_us` as of
    // the function below.
    bool platform_answered(base::instant asked, bool names_us);
    // Whether a list as fresh as ours gives our slot our own address: it is
    // this process that is listed, and not a successor.
    bool is_named_by(const membership::instance_list& list) const;
    // What our heartbeats say of the platform's service.
    void tell_contact(base::platform_reachability now) { this->contact = now; }
    bool ask_documents(base::slot_id slot, std::uint64_t since);
    // Peers hear at once that we leave; links stay.
    bool start_leaving();

    std::string address() const { return this->links.address(); }
    peer_status status() const;
    // The peers of `status`, at once after a peer told a higher revision.
    std::vector<membership::peer_view> seen_peers() const;

    // See membership::roster; nothing may be granted while one is true. Also
    // true while the duty itself has not turned within the lease: after a
    // pause of the process its own thread may wake later than the asker's.
    bool paused() const;
    bool superseded() const { return this->is_superseded; }
    // A peer's documents have come, or no peer had any to offer within the
    // first 1.5 s: the service's may be believed.
    bool peers_consulted() const { return this->is_consulted; }

private:
    struct document_question {
        base::slot_id slot;
        std::uint64_t since = 0;
    };
    struct platform_reading {
        base::instant asked;
        bool names_us = false;
    };
    struct leave {
    };
    using order = std::variant<delivery::send_claim_message,
                               capacity::load_digest,
                               membership::instance_list,
                               document_question,
                               platform_reading,
                               leave>;

    bool give(order&& what);
    void run();
    void turn();
    void take_orders();
    void take(delivery::send_claim_message& what);
    void take(capacity::load_digest& whole);
    void take(membership::instance_list& list);
    void take(document_question& what);
    void take(platform_reading& what);
    void take(leave&);

    void receive(peers::message&& got);
    void on(const peers::message& from, membership::heartbeat& beat);
    void on(const peers::message& from, membership::instance_list& list);
    void on(const peers::message& from, capacity::load_digest& digest);
    void on(const peers::message& from, config::document_request& request);
    void on(const peers::message& from, config::document_set& set);
    template <class Claim>
    void on(const peers::message& from, Claim& claim);

    void link_up(const peers::sender_identity& peer);
    void link_down(base::slot_id slot);
    void adopt(membership::instance_list list);
    void follow_pause();
    void follow_changes();
    void speak(base::instant now);
    bool has_news() const;
    membership::heartbeat compose();
    void spread_list(base::instant now);
    void tell_load_in_turn(base::instant now);
    void want_links();
    bool is_near(base::slot_id slot) const;
    void pull(base::slot_id slot, std::uint64_t revision);
    void push_or_drop(delivery::event&& what);
    void publish(base::instant now);
    peers::mesh_settings mesh_of(const peer_duty_options& given);
    peers::mesh_events events_of_mesh();

    peer_duty_options options;
    callers::inbox& events;
    config_thread& documents;
    rings::bounded_queue<order> ring;
    membership::roster roster; // and all below: the duty's thread only
    peers::mesh links;
    peers::demand_links on_demand;
    peers::load_delta load;
    std::optional<capacity::load_digest> load_now;
    base::instant started;
    base::instant next_beat;
    base::instant last_beat;
    base::instant next_load;
    base::instant next_pull;
    base::instant next_publish;
    std::uint64_t told_config = 0; // revisions of our last heartbeat
    std::uint64_t told_list = 0;
    base::platform_reachability told_contact =
        base::platform_reachability::unknown;
    bool leaving_untold = false;
    bool links_changed = false;
    std::uint32_t pauses_seen = 0;
    std::uint64_t events_dropped = 0;
    std::uint64_t claims_unsent = 0;
    std::atomic<bool> stopping{false};
    std::atomic<base::platform_reachability> contact{
        base::platform_reachability::unknown};
    std::atomic<bool> is_paused{false};
    std::atomic<base::instant> last_turn{base::instant{}};
    std::atomic<bool> is_superseded{false};
    std::atomic<bool> is_consulted{false};
    mutable std::mutex mutex;
    peer_status shown;
    std::thread thread;
};

} // namespace greengagedrum::daemon
