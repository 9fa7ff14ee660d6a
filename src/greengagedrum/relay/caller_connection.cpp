#include <greengagedrum/memory/bounded_append.hpp>
#include <greengagedrum/relay/caller_connection.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <charconv>

namespace greengagedrum::relay
{

namespace
{

// Requests sent ahead of their turn beyond this are left in the socket, which
// holds the caller back.
constexpr std::size_t ahead_most = 256U << 10U;

// The same, and what is read at once, where memory is limited: each of some
// 1,800 connections has these buffers.
constexpr std::size_t limited_ahead_most = 16U << 10U;
constexpr std::size_t limited_read_bytes = 4U << 10U;

std::string chunk_head(std::size_t size)
{
    std::array<char, 20> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), size, 16);
    return std::string(text.data(), end.ptr) + "\r\n";
}

} // namespace

caller_connection::caller_connection(tcp::socket socket,
                                     const caller_events& events,
                                     const caller_bounds& bounds)
    : socket(std::move(socket)), events(events), bounds(bounds),
      idle_timeout(bounds.idle_timeout),
      arrived(events.memory ? limited_read_bytes : read_bytes),
      since(events.clock()), buffers(events.memory, memory::kind::connections),
      unsent_room(events.memory, memory::kind::responses)
{
    this->buffers.resize(sizeof(*this) + this->arrived.size());
    this->begin_request();
}

void caller_connection::start()
{
    error_code ignored; // without it the connection is slower, no more
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->read();
}

void caller_connection::begin_request()
{
    this->reader = std::make_unique<request_reader>(this->bounds.read);
    this->idle_timeout = this->bounds.idle_timeout;
    this->since = this->events.clock();
    this->continue_sent = false;
    this->is_classified = false;
}

std::size_t caller_connection::ahead_bound() const
{
    if (!this->events.memory)
        return ahead_most;
    // A head is taken as a whole.
    return this->reader->head_done()
               ? limited_ahead_most
               : std::max(limited_ahead_most, this->bounds.read.head_bytes + 1);
}

// ---- Reading --------------------------------------------------------------

void caller_connection::read()
{
    if (this->reads || this->closed || this->waits ||
        this->inbox.size() >= this->ahead_bound())
        return;
    this->reads = true;
    this->socket.async_read_some(
        asio::buffer(this->arrived),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            self->reads = false;
            self->on_read(fault, count);
        });
}

void caller_connection::on_read(error_code fault, std::size_t count)
{
    if (this->closed)
        return;
    if (std::exchange(this->ending_idle, false) &&
        fault == asio::error::operation_aborted)
        return this->finish_idle_close();
    if (fault) {
        if (this->busy && !this->lingering)
            this->events.left(this->shared_from_this());
        return this->close();
    }
    if (!this->lingering) {
        if (this->inbox.empty() && !this->busy && !this->reader->head_done())
            this->since = this->events.clock();
        this->read_at = this->events.clock();
        this->inbox.append(this->arrived.data(), count);
        this->process();
    }
    this->read();
}

void caller_connection::process()
{
    while (!this->busy && !this->lingering && !this->closed &&
           !this->inbox.empty()) {
        const auto taken = this->reader->feed(this->inbox);
        if (!taken)
            return this->refuse(taken.error());
        this->inbox.erase(0, *taken);
        if (this->events.memory && !this->take_room())
            return;
        if (this->reader->done()) {
            this->busy = true;
            this->events.request(this->shared_from_this(),
                                 this->events.clock() - this->since);
            continue;
        }
        return this->send_continue();
    }
}

void caller_connection::send_continue()
{
    if (!this->reader->head_done() || this->reader->done() ||
        !this->reader->expects_continue() || this->continue_sent)
        return;
    this->continue_sent = true;
    this->put("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::refuse(const read_fault& fault)
{
    this->events.refused(fault);
    this->closing = true;
    this->busy = true;
    this->answer(own_answer{fault.status, fault.why, std::nullopt});
}

// ---- Answers --------------------------------------------------------------

void caller_connection::announce_close(std::string& head)
{
    this->close_announced =
        this->closing || !this->reader->done() || !this->reader->keeps_open();
    if (this->close_announced)
        head += "Connection: close\r\n";
}

// Both functions that write a head look whether one has been written: what
// follows the first part of a response is more of it, its end, or a break.
void caller_connection::answer(std::string head, std::string_view body)
{
    if (this->in_pieces)
        return this->break_off();
    this->announce_close(head);
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (this->reader->head().method != "HEAD")
        head += body;
    this->put(head);
    this->finish_answer();
}

void caller_connection::answer(const own_answer& what)
{
    // Reasons are words and sentences of our own, without quotes.
    this->answer(own_head(what), "{\"error\":\"" + what.reason + "\"}\n");
}

void caller_connection::begin_pieces(std::string head)
{
    if (this->in_pieces)
        return;
    this->in_pieces = true;
    this->chunked = this->reader->head().version >= 11;
    this->unframed = !this->chunked;
    if (this->unframed)
        this->closing = true;
    this->announce_close(head);
    if (this->chunked)
        head += "Transfer-Encoding: chunked\r\n";
    this->put(head + "\r\n");
}

void caller_connection::send_piece(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (!this->chunked)
        return this->put(bytes);
    std::string piece = chunk_head(bytes.size());
    piece.append(bytes).append("\r\n");
    this->put(piece);
}

void caller_connection::end_pieces()
{
    if (this->chunked)
        this->put("0\r\n\r\n");
    this->finish_answer();
}

void caller_connection::finish_answer()
{
    // A caller that wasn't told may have sent its next request.
    const bool last = this->close_announced || !this->reader->done() ||
                      !this->reader->keeps_open();
    this->release_body();
    this->busy = false;
    this->in_pieces = false;
    if (last) {
        // Bytes left unread would reset the connection.
        this->inbox.clear();
        this->read();
        this->lingering = true;
        this->since = this->events.clock();
        if (!this->writes)
            this->linger();
        return;
    }
    this->begin_request();
    // The next request may be here already; it is not read from inside the
    // answer to this one.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->process();
        self->read();
    });
}

void caller_connection::abort()
{
    if (this->closed)
        return;
    error_code ignored; // closed either way
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

// ---- Writing --------------------------------------------------------------

std::size_t caller_connection::unsent() const
{
    return this->outbox.size() + this->writing.size();
}

std::size_t caller_connection::unsent_on_link()
{
    int count = 0;
    const bool known =
        !this->closed &&
        ::ioctl(this->socket.native_handle(), SIOCOUTQNSD, &count) == 0;
    return std::max(this->unsent(),
                    known ? static_cast<std::size_t>(std::max(count, 0)) : 0);
}

void caller_connection::put(std::string_view bytes)
{
    if (this->closed)
        return;
    if (this->unsent() == 0)
        this->taken_at = this->events.clock();
    if (this->events.memory)
        memory::append_bounded(this->outbox, bytes, *this->events.memory);
    else
        this->outbox += bytes;
    this->count_unsent();
    if (!this->writes)
        this->write();
}

void caller_connection::write()
{
    this->writing = std::exchange(this->outbox, {});
    this->writes = true;
    this->taken = 0;
    asio::async_write(
        this->socket,
        asio::buffer(this->writing),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            self->on_bytes_taken(count);
            return asio::transfer_all()(fault, count);
        },
        [self = this->shared_from_this()](error_code fault, std::size_t) {
            self->writes = false;
            self->writing = {};
            self->taken = 0;
            self->count_unsent();
            self->on_written(fault);
        });
}

void caller_connection::on_written(error_code fault)
{
    if (this->closed)
        return;
    if (fault) {
        if (this->busy)
            this->events.left(this->shared_from_this());
        return this->close();
    }
    if (!this->outbox.empty())
        return this->write();
    if (this->lingering)
        return this->linger();
    // A caller can't use the connection again before it has the response.
    if (!this->busy && !this->is_reading())
        this->since = this->events.clock();
}

} // namespace greengagedrum::relay
