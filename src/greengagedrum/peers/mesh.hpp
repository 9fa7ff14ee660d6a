// The links of this process to its peers.
//
// One link for each pair of slots. The lower slot dials; the higher one dials
// as well when it has waited in vain, since the other may not know of it yet.
// The mesh runs no thread: one thread calls poll_once() in a loop and all else
// but wake(), and the events come on that thread. Who the peers are and what
// is said is not decided here.
#pragma once

#include <greengagedrum/peers/link.hpp>
#include <greengagedrum/peers/message.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::peers
{

struct mesh_settings {
    link_settings links;
    std::uint64_t seed = 0;
    base::duration backoff_min{100'000};
    base::duration backoff_max{2'000'000};
    base::duration other_dials{1'000'000}; // the higher slot waits so long
    std::size_t strangers_max = 128;       // accepted and not yet proved
    std::function<base::instant()> clock;
};

// All are called from within poll_once() or close_all().
struct mesh_events {
    std::function<void(message&&)> received;
    std::function<void(const sender_identity&)> link_up;
    std::function<void(base::slot_id)> link_down;
    // A peer knows this higher life of our own slot.
    std::function<void(base::incarnation)> outranked;
};

struct peer_target {
    base::slot_id slot;
    std::string address;  // "IP:port"
    bool at_once = false; // don't wait for the other to dial
};

// For one peer, over all its links since the start.
struct peer_counters {
    link_counters traffic;
    std::uint64_t links = 0;      // that came up; the first one included
    std::uint64_t dials = 0;      // connects begun
    std::uint64_t silent = 0;     // links closed for silence
    std::uint64_t bad_frames = 0; // bad MACs, lengths, kinds and payloads
    std::uint64_t unknown = 0;    // payloads of a newer build, passed over
};

class mesh
{
public:
    mesh(mesh_settings given, mesh_events told);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    // False when the address can't be bound.
    bool start(std::string_view address);
    std::string address() const;

    // Links to others are closed; those they dialled themselves are kept.
    void set_wanted(const std::vector<peer_target>& targets);

    // Promised to peers: they hear from us at least so often.
    void set_interval(std::chrono::milliseconds interval);

    // False when there is no link or its queue is full; then nothing is sent.
    // A heartbeat goes before all else and is never refused by a queue.
    bool send(base::slot_id to, const payload& body);
    void broadcast(const payload& body);

    // Encoded once for all of them.
    void send_all(std::span<const base::slot_id> to, const payload& body);

    // Closes all links; fresh ones are dialled at once.
    void close_all();

    // Waits up to `wait` for something to do and does it.
    void poll_once(base::duration wait);

    // Ends the wait of poll_once(); may be called by any thread.
    void wake();

    bool linked(base::slot_id slot) const;
    std::vector<sender_identity> linked_peers() const;
    std::map<base::slot_id, peer_counters> counters() const;

    // Frames and hellos refused before their sender was proved.
    std::uint64_t strangers_refused() const { return this->refused; }

private:
    struct target {
        std::string address;
        base::instant next_dial;
        std::uint32_t failures = 0;
    };
    using link_list = std::vector<std::unique_ptr<link>>;

    void accept_all();
    void dial_due(base::instant now);
    void dial(base::slot_id slot, target& to, base::instant now);
    bool dialling(base::slot_id slot) const;
    void retry_later(base::slot_id slot, base::instant now);
    base::duration patience(base::duration wait) const;
    void serve(link& one, short found);
    void came_up(link& one);
    bool preferred(const link& fresh, const link& old) const;
    void deliver(link& one, std::vector<received_payload>& received);
    void flush_all();
    void remove_closed();
    void note_closed(const link& one);
    std::size_t strangers() const;
    link_nonce draw_nonce() const;
    bool deliver_to(link& one, const payload& body, const shared_bytes& bytes);

    mesh_settings settings;
    mesh_events events;
    descriptor listener;
    descriptor waker;
    link_list links;
    std::map<base::slot_id, link*> in_use; // up, one a slot
    std::map<base::slot_id, target> wanted;
    std::map<base::slot_id, peer_counters> counted;
    std::mt19937_64 generator;
    std::uint64_t refused = 0;
};

} // namespace greengagedrum::peers
