// One connection to a peer: handshake, frames in, frames out.
//
// It never blocks and runs no thread; the mesh polls its descriptor. What is
// queued leaves in order, but for the control payload (a heartbeat), which
// goes before all that is queued and replaces an older one not yet sent.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/peers/descriptor.hpp>
#include <greengagedrum/peers/frame.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::peers
{

// An encoded payload, shared by the links that it is sent over.
using shared_bytes = std::shared_ptr<const std::string>;

enum class link_state : std::uint8_t {
    connecting, // the connect has been begun
    greeting,   // waits for the other end's hello
    proving,    // waits for its first good frame
    up,
    closed
};

enum class close_cause : std::uint8_t {
    none,
    lost,        // refused, reset or closed by the other end
    slow_start,  // no connect or handshake in time
    silent,      // up, but nothing heard in time
    bad_hello,   // no peer of this protocol
    wrong_peer,  // another slot than was dialled, or ourselves
    bad_frame,   // wrong MAC, length or kind
    bad_payload, // well signed, but no sound payload
    outranked,   // of a life that is over
    replaced,    // by a fresh link to the same peer
    unwanted     // closed by the mesh's user
};

struct link_counters {
    std::uint64_t frames_in = 0;
    std::uint64_t frames_out = 0;
    std::uint64_t bytes_in = 0; // without TCP/IP headers
    std::uint64_t bytes_out = 0;
    std::uint64_t dropped = 0; // payloads that found the queue full

    void add(const link_counters& more)
    {
        this->frames_in += more.frames_in;
        this->frames_out += more.frames_out;
        this->bytes_in += more.bytes_in;
        this->bytes_out += more.bytes_out;
        this->dropped += more.dropped;
    }
};

// A whole payload as it came.
struct received_payload {
    std::string bytes;
    // With a control payload: when that one of ours was sent which it answers.
    std::optional<base::instant> answers;
};

// What all links of a mesh share.
struct link_settings {
    sender_identity own;
    std::string key;
    std::optional<std::string> previous_key; // taken, never signed with
    base::duration start_patience{1'000'000};
    base::duration silent_default{1'500'000}; // when the peer promises nothing
    std::size_t queue_bytes_max = 8U << 20U;
    std::uint16_t interval = 400; // promised to peers, in milliseconds
    // The highest life known of a slot: told to it in the proof.
    std::function<base::incarnation(base::slot_id)> known_life;
    // Read when a control payload is sent; without it none has an answer.
    std::function<base::instant()> clock;
};

class link
{
public:
    // `expected` is the slot dialled; empty for an accepted connection.
    link(descriptor connection,
         base::slot_id expected,
         const link_nonce& nonce,
         const link_settings& shared,
         base::instant now);

    // For poll(2).
    int number() const { return this->socket.get(); }
    short interest() const;

    // Takes in what poll(2) found; whole payloads are appended to `out`.
    void
    handle(short found, base::instant now, std::vector<received_payload>& out);

    // Sends what it can.
    void flush();

    // False when the queue is full.
    bool queue(shared_bytes bytes);
    void put_control(shared_bytes bytes);

    // Closes itself when something is overdue.
    void check(base::instant now);
    base::instant due() const;
    void close(close_cause why);

    link_state state() const { return this->current; }
    close_cause cause() const { return this->closed_for; }
    const sender_identity& peer() const { return this->other; }
    base::slot_id dialled_slot() const { return this->expected; }
    bool dialled() const { return !this->expected.empty(); }
    base::incarnation told_life() const { return this->told; }
    const link_counters& counters() const { return this->counted; }

private:
    void begin();
    void read_some(base::instant now, std::vector<received_payload>& out);
    void parse(base::instant now, std::vector<received_payload>& out);
    bool take_hello();
    void take_frame(const frame& got,
                    base::instant now,
                    std::vector<received_payload>& out);
    void take_control(const frame& got, std::vector<received_payload>& out);
    void take_piece(const frame& got, std::vector<received_payload>& out);
    void seal_control();
    void take_proof(const frame& got);
    void refill();
    void seal(frame_kind kind, std::string_view bytes);
    void seal_piece();

    descriptor socket;
    base::slot_id expected;
    const link_settings& settings; // of the mesh, which outlives its links
    hello own_hello;
    sender_identity other;
    link_state current;
    close_cause closed_for = close_cause::none;
    base::incarnation told; // highest life of our slot that the peer knows
    base::instant opened;
    base::instant heard;
    base::duration silent_after;
    std::optional<frame_sealer> sealer;
    std::optional<frame_opener> opener;
    std::string incoming;
    std::string assembly; // pieces of a payload still incomplete
    std::string outgoing; // signed, not yet written
    std::size_t written = 0;
    shared_bytes control;
    std::uint32_t controls_sent = 0;
    std::uint32_t control_heard = 0;         // number of the peer's last one
    std::deque<base::instant> control_times; // of the last ones sent
    std::deque<shared_bytes> bulk;
    std::size_t bulk_bytes = 0;
    std::size_t piece_begin = 0; // in the first of `bulk`
    link_counters counted;
};

} // namespace greengagedrum::peers
