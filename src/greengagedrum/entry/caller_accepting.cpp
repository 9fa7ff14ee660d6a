// The part of request_handler that accepts callers' connections.
#include <greengagedrum/entry/request_handler.hpp>

namespace greengagedrum::entry
{

namespace
{

// Of a caller's connection, in the kernel. Larger ones would hold more bytes of
// a caller that waits or doesn't read than its body or response; with smaller
// ones than a packet over loopback, a sender waits for its timer.
constexpr int socket_buffer_bytes = 32 << 10;

// Limits used until a configuration is known, and for those that the
// configuration leaves out.
constexpr std::size_t default_body_bytes = 4U << 20U;
constexpr std::size_t default_head_bytes = 16U << 10U;

} // namespace

void request_handler::listen(const base::ip_endpoint& address)
{
    this->acceptor.listen(address);
    if (this->state.memory)
        this->acceptor.set_buffer_bytes(socket_buffer_bytes);
}

relay::acceptor_events request_handler::make_acceptor_events()
{
    relay::acceptor_events out;
    out.has_room = [this] {
        return this->callers.size() < this->state.descriptors.callers;
    };
    out.full = [this] {
        this->log_shortage("callers_at_bound", "");
        relay::close_longest_idle(this->callers);
    };
    out.accepted = [this](relay::tcp::socket socket) {
        this->add_caller(std::move(socket));
    };
    out.failed = [this](const relay::error_code& fault) {
        this->log_shortage("accept_failed", fault.message());
    };
    return out;
}

void request_handler::log_shortage(std::string_view event,
                                   const std::string& why)
{
    this->state.log.write(this->state.clock(),
                          "front",
                          event,
                          {{"why", why},
                           {"connections", this->callers.size()},
                           {"in_flight", this->requests.size()}});
}

void request_handler::add_caller(relay::tcp::socket socket)
{
    const auto connection = std::make_shared<relay::caller_connection>(
        std::move(socket), this->events, this->bounds());
    if (this->state.stopping)
        connection->set_closing();
    this->callers.insert(connection);
    connection->start();
}

relay::caller_bounds request_handler::bounds() const
{
    relay::caller_bounds out;
    out.read = {default_head_bytes, default_body_bytes};
    if (!this->state.cluster.routes())
        return out;
    const routing::caller_limits& limits =
        this->state.cluster.routes()->config().limits;
    if (limits.head_bytes > 0)
        out.read.head_bytes = limits.head_bytes;
    if (limits.body_bytes > 0)
        out.read.body_bytes = limits.body_bytes;
    if (limits.head_timeout.count() > 0)
        out.head_timeout = limits.head_timeout;
    if (limits.idle_timeout.count() > 0)
        out.idle_timeout = limits.idle_timeout;
    return out;
}

} // namespace greengagedrum::entry
