// One connection of a caller: reads its requests one after another and writes
// their answers.
//
// It always has a read under way, so that a caller that leaves is noticed
// while its request is worked on. Requests sent ahead of an answer wait in a
// bounded buffer.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/asio.hpp>
#include <greengagedrum/relay/message_reader.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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
    // Closes it unless a request is under way or being read.
    void close_idle();
    // Closes what was too slow or idle for too long.
    void check_time(base::instant now, const caller_bounds& bounds);

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
    bool last_answer() const;
    void linger();
    void close();

    tcp::socket socket;
    const caller_events& events;
    read_bounds bounds;
    std::array<char, read_bytes> arrived{};
    std::string inbox;
    std::unique_ptr<request_reader> reader;
    std::string outbox;  // to be written next
    std::string writing; // under way
    base::instant since; // the state that has a time bound began
    bool busy = false;   // a request is worked on
    bool in_pieces = false;
    bool chunked = false;
    bool writes = false;
    bool reads = false;
    bool closing = false;   // after the answer under way
    bool lingering = false; // all is written; waits for the caller to close
    bool closed = false;
    bool continue_sent = false;
};

// The status line and headers of an answer of our own.
std::string own_head(const own_answer& what);

} // namespace greengagedrum::relay
