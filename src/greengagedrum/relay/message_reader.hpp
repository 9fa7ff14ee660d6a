// Reads HTTP/1.1 messages from bytes as they come, strictly: what two parsers
// might read in two ways is refused.
//
// Failure guarded against: request smuggling. A caller sends a head whose end,
// length or framing an upstream would read otherwise than this program, so
// that a part of one body is run as another request. So bare line feeds,
// folded lines, repeated or joined lengths, and any transfer coding but one
// plain "chunked" are refused, and what is sent on is framed anew.
//
// Boost.Beast parses; it is kept out of this header for its compile time.
#pragma once

#include <greengagedrum/relay/body_framing.hpp>
#include <greengagedrum/relay/message_head.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace greengagedrum::relay
{

struct read_bounds {
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4U << 20U;
};

// Why a request can't be read, and the status that says so to its caller.
struct read_fault {
    unsigned status = 400;
    std::string why;
};

class request_reader
{
public:
    explicit request_reader(const read_bounds& bounds);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    // Takes from the front of `bytes`; returns how many were taken. Those not
    // taken are to be offered again with what follows.
    tl::expected<std::size_t, read_fault> feed(std::string_view bytes);

    bool head_done() const;
    bool done() const;
    // The caller may send another request on this connection.
    bool keeps_open() const;
    // The caller waits for leave to send its body.
    bool expects_continue() const;

    const request_head& head() const;
    const std::string& body() const;
    // As announced by the head; empty optional for a body in chunks.
    std::optional<std::uint64_t> body_length() const;
    // The body is about to grow to that size.
    void reserve_body(std::size_t bytes);
    // Leaves no body behind.
    std::string take_body();

private:
    class parser;
    tl::expected<std::size_t, read_fault> feed_head(std::string_view bytes);

    read_bounds bounds;
    std::unique_ptr<parser> inner;
};

class answer_reader
{
public:
    // `to_head`: the request's method was HEAD, so no body follows.
    explicit answer_reader(bool to_head);
    ~answer_reader();
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;

    // As of request_reader; interim answers (1xx) are passed over.
    tl::expected<std::size_t, read_fault> feed(std::string_view bytes);

    // The connection was closed in order. False when the answer is cut short.
    bool finish_at_close();

    bool head_done() const;
    bool done() const;
    const answer_head& head() const;
    body_framing framing() const;

    // Body bytes since the last call.
    std::string take_body();

private:
    class parser;
    void begin();

    bool to_head;
    std::size_t head_bytes = 0; // interim heads included
    std::unique_ptr<parser> inner;
};

} // namespace greengagedrum::relay
