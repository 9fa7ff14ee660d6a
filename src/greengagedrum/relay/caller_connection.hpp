// One connection of a caller: reads its requests one after another and writes
// their answers.
//
// It always has a read under way, so that a caller that leaves is noticed
// while its request is worked on. Requests sent ahead of an answer wait in a
// bounded buffer.
//
// Where the memory of the process is limited, a body is read once there is room
// for the whole of it. Without that, many bodies read in part could fill the
// memory, and none of them could be finished. While a body waits, nothing is
// read, and check_stopped() notices a caller that leaves.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/memory/reservation.hpp>
#include <greengagedrum/memory/unread_response.hpp>
#include <greengagedrum/relay/asio.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace greengagedrum::relay
{

class caller_connection;
using caller_ptr = std::shared_ptr<caller_connection>;

// What an answer of our own says.
struct own_answer {
    unsigned status = 503;
    std::string reason; // a word for the caller and the log
    std::optional<base::duration> retry_after;
};

// Whose room a body takes, and how urgent it is (lower: more urgent).
struct body_class {
    base::workspace_id workspace;
    std::uint32_t priority = 0;
    base::duration time_left{0}; // of the caller, from the head on
};

// What the owner of connections does for them.
struct caller_events {
    // A whole request was read; `waited` since its first byte.
    std::function<void(const caller_ptr&, base::duration waited)> request;
    // The caller has closed, with its request not yet answered.
    std::function<void(const caller_ptr&)> left;
    // A request could not be read; it is answered by the connection itself.
    std::function<void(const read_fault&)> refused;
    std::function<void(const caller_ptr&)> closed;
    std::function<base::instant()> clock;

    // Null: the memory of the process is not limited, and what follows unused.
    std::shared_ptr<memory::account> memory;
    std::function<body_class(const request_head&)> classify;
    // A request was rejected before it was read whole; it held `bytes`.
    std::function<void(
        const caller_ptr&, const own_answer&, std::uint64_t bytes)>
        rejected;
};

struct caller_bounds {
    read_bounds read;
    base::duration head_timeout = std::chrono::seconds(3);
    base::duration idle_timeout = std::chrono::seconds(15);
};

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(tcp::socket socket,
                      const caller_events& events,
                      const caller_bounds& bounds);

    void start();

    // The request under way; valid until it is answered.
    const request_head& head() const { return this->reader->head(); }
    const std::string& body() const { return this->reader->body(); }
    // The caller's request has no body afterwards.
    std::string take_body() { return this->reader->take_body(); }

    // A whole answer. `head` is its status line and headers without framing.
    void answer(std::string head, std::string_view body);
    void answer(const own_answer& what);

    // An answer piece by piece, in chunks where the caller knows them.
    void begin_pieces(std::string head);
    void send_piece(std::string_view bytes);
    void end_pieces();

    // Ends the connection so that its answer can't look whole.
    void abort();

    bool answering() const { return this->busy; }
    bool pieces_begun() const { return this->in_pieces; }
    // Bytes that the caller has not taken yet.
    std::size_t unsent() const;
    // As above, or if they are more, the bytes that the kernel has taken and
    // not sent once.
    std::size_t unsent_on_link();

    // Answers say that the connection closes, see `close_idle`.
    void set_closing() { this->closing = true; }
    // Closes it if it has been idle for that long: no request is under way,
    // being read or in the socket, and all responses are sent. A request that
    // arrives later is not read, so its caller may repeat it.
    void close_idle(base::duration idle_for = base::duration(0));
    // Since when it has been idle, see above; nothing if it isn't.
    std::optional<base::instant> idle_since() const;
    // Refuses a request that is not read whole yet, and closes. False if there
    // is none.
    bool refuse_unread(const own_answer& why);
    // Ends a response in pieces that is not whole, in such a way that the
    // caller gets what was written and can't take it for whole.
    void break_off();
    // Aborts a connection whose end is the end of its stream, if not all of the
    // stream has been written: closed in order, it would look whole.
    void abort_unframed();
    // Closes what was too slow or idle for too long.
    void check_time(base::instant now, const caller_bounds& bounds);

    // ---- Only where the memory of the process is limited ----

    // Room that the waiting body needs beyond what it has.
    std::uint64_t further_room_needed() const;
    // The room of the body that take_body() returns.
    memory::reservation take_body_reservation();
    // The body can't be read for want of room since then.
    std::optional<base::instant> waiting_since() const { return this->waits; }
    // Reads the body on if there is room by now.
    void retry_body();
    const body_class& classified() const { return this->body_kind; }
    // The room taken by a body that isn't read whole yet.
    std::uint64_t unfinished_body_bytes() const;
    // Such a body has room, and no byte of it came for that long.
    base::duration body_stalled(base::instant now) const;
    // Rejects a request that isn't read whole yet.
    void reject(const own_answer& why);
    // The same, with the time after which there may be room for its body.
    void reject_for_room();
    // Notices that the caller left while nothing is read from it, and counts
    // what the kernel holds of this connection.
    void check_stopped();
    memory::unread_response unread(base::instant now) const;

private:
    void read();
    void on_read(error_code fault, std::size_t count);
    void process();
    void begin_request();
    void refuse(const read_fault& fault);
    void finish_answer();
    void put(std::string_view bytes);
    void write();
    void on_written(error_code fault);
    bool is_reading() const;
    void announce_close(std::string& head);
    void finish_idle_close();
    std::size_t ahead_bound() const;
    void send_continue();
    bool take_room();
    std::uint64_t room_needed() const;
    void on_bytes_taken(std::size_t count);
    void count_unsent();
    void release_body();
    void linger();
    void close();

    tcp::socket socket;
    const caller_events& events;
    caller_bounds bounds;
    // A shorter time-out of a later configuration applies once the connection
    // has been used again: until then the caller may go by this one.
    base::duration idle_timeout;
    std::vector<char> arrived;
    std::string inbox;
    std::unique_ptr<request_reader> reader;
    std::string outbox;  // to be written next
    std::string writing; // under way
    base::instant since; // the state that has a time bound began
    bool busy = false;   // a request is worked on
    bool in_pieces = false;
    bool chunked = false;
    bool unframed = false; // the end of the connection ends the response
    bool writes = false;
    bool reads = false;
    bool closing = false;         // after the answer under way
    bool close_announced = false; // by the head of the answer under way
    bool ending_idle = false;     // unless a request has arrived
    bool lingering = false; // all is written; waits for the caller to close
    bool closed = false;
    bool continue_sent = false;
    body_class body_kind;
    bool is_classified = false;
    base::instant classified_at;
    std::optional<base::instant> waits; // for room for the body
    base::instant read_at;              // the last byte
    base::instant taken_at;             // the caller last took a byte
    std::size_t taken = 0;              // of `writing`
    memory::reservation buffers;
    memory::reservation body_room;
    memory::reservation unsent_room;
};

// The status line and headers of an answer of our own.
std::string own_head(const own_answer& what);

// Closes the connection that has been idle for longest, if there is one.
void close_longest_idle(const std::unordered_set<caller_ptr>& from);

} // namespace greengagedrum::relay
