// One request to an upstream, over a connection of its own for as long as it
// takes.
//
// The connection is fresh unless the caller of start_on() brings one. On a kept
// connection, a late second answer could be taken for the next request's, and a
// reset leaves open whether the request ran; `reuse_policy` says when that is
// acceptable. A connect costs two milliseconds of a request that takes
// hundreds.
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

enum class call_fault : std::uint8_t {
    connection_lost,
    malformed,     // what came is no answer
    write_stalled, // no byte of the request was taken for too long
};

struct outgoing_request {
    std::string head; // with the empty line that ends it
    // Shared by all sends of a request; null: no body.
    std::shared_ptr<const std::string> body;
};

struct upstream_events {
    std::function<void()> connected = [] {};
    std::function<void(const error_code&)> not_connected; // nothing was written
    std::function<void()> written = [] {}; // the whole request, or as far as
                                           // the connection took it
    std::function<void()> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;                          // the answer is whole
    std::function<void(call_fault, std::string)> broken; // why
};

class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    upstream_call(asio::io_context& context,
                  upstream_events events,
                  bool to_head);

    void start(const base::ip_endpoint& address, outgoing_request request);
    // The same over a connection to the upstream that was made elsewhere.
    void start_on(tcp::socket connection, outgoing_request request);

    // Before start: a request of which no byte is taken for that long, with no
    // response begun, is broken off. Zero: no bound.
    void set_write_timeout(base::duration timeout)
    {
        this->write_timeout = timeout;
    }
    // True once any byte has arrived.
    bool any_byte_arrived() const { return this->byte_arrived; }
    // Every byte of the request has been written.
    bool request_written() const { return this->written; }
    // Bytes have arrived after the answer.
    bool bytes_follow() const { return !this->inbox.empty(); }
    // With it, the connection is not closed before the end of `events.done`.
    void allow_release() { this->releasable = true; }
    // The connection, during `events.done`; empty if it can't be used again.
    std::optional<tcp::socket> release_connection();

    // Breaks it off; no event follows.
    void stop();

    const answer_head& head() const { return this->reader.head(); }
    body_framing framing() const { return this->reader.framing(); }

    // Holds back reading while the caller can't take more.
    void pause(bool held);

private:
    void on_connected(error_code fault);
    void begin();
    void write();
    void restart_write_timer();
    void read();
    void on_read(error_code fault, std::size_t count);
    bool ends_before_request() const;
    void take();
    void fail(call_fault what, std::string why);

    tcp::socket socket;
    asio::steady_timer connect_bound;
    asio::steady_timer write_bound;
    base::duration write_timeout{0};
    upstream_events events;
    outgoing_request request;
    std::array<char, read_bytes> arrived{};
    std::string inbox;
    answer_reader reader;
    bool head_told = false;
    bool held = false;
    bool reads = false;
    bool over = false;
    bool connected = false;
    bool write_failed = false;
    bool write_ended = false;
    bool written = false;
    bool releasable = false;
    bool byte_arrived = false;
    std::optional<tcp::socket> released; // of a whole answer
};

} // namespace greengagedrum::relay
