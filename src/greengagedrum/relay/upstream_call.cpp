#include <greengagedrum/relay/upstream_call.hpp>

namespace greengagedrum::relay
{

namespace
{

// A connect takes some milliseconds within a region. An upstream that is dark
// or whose queue of connections is full does not answer at all; its host would
// repeat the opening packet only after a second.
constexpr auto connect_most = std::chrono::milliseconds(250);

// Where writing has a time limit. The kernel would else take megabytes of a
// request that the upstream doesn't read, and writing would seem complete.
constexpr int timed_send_buffer = 32 << 10;

} // namespace

upstream_call::upstream_call(asio::io_context& context,
                             upstream_events events,
                             bool to_head)
    : socket(context), connect_bound(context), write_bound(context),
      events(std::move(events)), reader(to_head)
{
}

void upstream_call::start(const base::ip_endpoint& address,
                          outgoing_request to_send)
{
    this->request = std::move(to_send);
    this->connect_bound.expires_after(connect_most);
    this->connect_bound.async_wait(
        [self = this->shared_from_this()](error_code fault) {
            if (!fault && !self->connected && !self->over)
                self->on_connected(asio::error::timed_out);
        });
    this->socket.async_connect(
        tcp_endpoint(address),
        [self = this->shared_from_this()](error_code fault) {
            if (!self->connected && !self->over)
                self->on_connected(fault);
        });
}

void upstream_call::on_connected(error_code fault)
{
    this->connected = true;
    this->connect_bound.cancel();
    if (fault) {
        const auto tell = this->events.not_connected;
        this->stop();
        return tell(fault);
    }
    this->events.connected();
    if (!this->over)
        this->begin();
}

void upstream_call::start_on(tcp::socket connection, outgoing_request to_send)
{
    this->request = std::move(to_send);
    this->socket = std::move(connection);
    this->connected = true;
    this->begin();
}

void upstream_call::begin()
{
    error_code ignored; // without it the connection is slower, no more
    this->socket.set_option(tcp::no_delay(true), ignored);
    if (this->write_timeout.count() > 0)
        this->socket.set_option(
            asio::socket_base::send_buffer_size(timed_send_buffer), ignored);
    this->write();
    this->read();
}

void upstream_call::write()
{
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(this->request.head),
        this->request.body ? asio::buffer(*this->request.body)
                           : asio::const_buffer()};
    asio::async_write(
        this->socket,
        buffers,
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            self->restart_write_timer();
            return asio::transfer_all()(fault, count);
        },
        [self = this->shared_from_this()](error_code fault, std::size_t) {
            // The answer may have come before. A reset that the write has
            // reported shows as an orderly close on the read.
            self->write_failed = static_cast<bool>(fault);
            self->written = !fault;
            self->write_ended = true;
            self->write_bound.cancel();
            if (!self->over)
                self->events.written();
        });
}

// Called for each part that was taken.
void upstream_call::restart_write_timer()
{
    if (this->write_timeout.count() == 0 || this->over)
        return;
    this->write_bound.expires_after(this->write_timeout);
    this->write_bound.async_wait(
        [self = this->shared_from_this()](error_code fault) {
            // Bytes may have been taken while an expiry was already queued.
            const bool restarted = self->write_bound.expiry() >
                                   asio::steady_timer::clock_type::now();
            const bool answered = self->reader.head_done();
            if (!fault && !restarted && !self->over && !self->write_ended &&
                !answered)
                self->fail(call_fault::write_stalled,
                           "no byte of the request was taken in time");
        });
}

void upstream_call::read()
{
    if (this->over || this->held || this->reads)
        return;
    this->reads = true;
    this->socket.async_read_some(
        asio::buffer(this->arrived),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            self->reads = false;
            if (!self->over)
                self->on_read(fault, count);
        });
}

void upstream_call::on_read(error_code fault, std::size_t count)
{
    if (fault == asio::error::eof) {
        if (this->write_failed || this->ends_before_request() ||
            !this->reader.finish_at_close())
            return this->fail(call_fault::connection_lost, "closed early");
        return this->take();
    }
    if (fault)
        return this->fail(call_fault::connection_lost, fault.message());
    this->byte_arrived = this->byte_arrived || count > 0;
    this->inbox.append(this->arrived.data(), count);
    const auto taken = this->reader.feed(this->inbox);
    if (!taken)
        return this->fail(call_fault::malformed, taken.error().why);
    this->inbox.erase(0, *taken);
    this->take();
    if (!this->over)
        this->read();
}

// A success that only the end of the connection frames, while the request is
// still being written: the upstream can't have acted on all of it, and may have
// stopped in the middle of its answer.
bool upstream_call::ends_before_request() const
{
    return !this->write_ended && this->reader.head_done() &&
           this->head().status < status_redirect &&
           this->framing() == body_framing::until_close;
}

// Tells what has come. Each telling may end the call.
void upstream_call::take()
{
    const auto self = this->shared_from_this();
    if (this->reader.head_done() && !this->head_told) {
        this->head_told = true;
        this->events.head();
    }
    if (this->over)
        return;
    const std::string body = this->reader.take_body();
    if (!body.empty())
        this->events.body(body);
    if (this->over || !this->reader.done())
        return;
    const auto tell = this->events.done;
    // Only a connection with no operation under way can be used again.
    if (this->releasable && this->written && !this->reads)
        this->released = std::move(this->socket);
    this->stop();
    tell();
    this->released.reset();
}

void upstream_call::fail(call_fault what, std::string why)
{
    const auto self = this->shared_from_this();
    const auto tell = this->events.broken;
    this->stop();
    tell(what, std::move(why));
}

std::optional<tcp::socket> upstream_call::release_connection()
{
    return std::exchange(this->released, std::nullopt);
}

void upstream_call::stop()
{
    if (this->over)
        return;
    this->over = true;
    this->connect_bound.cancel();
    this->write_bound.cancel();
    error_code ignored; // nothing more is to be done with it
    this->socket.close(ignored);
    // They hold their owner, which holds this call.
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()] { self->events = {}; });
}

void upstream_call::pause(bool hold_back)
{
    this->held = hold_back;
    if (!hold_back && this->connected)
        this->read();
}

} // namespace greengagedrum::relay
