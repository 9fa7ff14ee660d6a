// The part of request_handler that accepts callers' connections.
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/relay/small_server.hpp>

namespace greengagedrum::entry
{

namespace
{

// The smallest instances allow about 4,000 file descriptors, and each request
// in progress needs a second one.
constexpr std::size_t max_callers = 1800;

// Limits used until a configuration is known, and for those that the
// configuration leaves out.
constexpr std::size_t default_body_bytes = 4U << 20U;
constexpr std::size_t default_head_bytes = 16U << 10U;

} // namespace

void request_handler::listen(const base::ip_endpoint& address)
{
    this->acceptor = relay::listen_on(this->context, address);
    if (this->state.memory)
        this->limit_socket_buffers();
    this->accept();
}

void request_handler::accept()
{
    this->acceptor.async_accept(
        [this](relay::error_code fault, relay::tcp::socket socket) {
            if (fault == relay::asio::error::operation_aborted)
                return;
            if (!fault)
                this->add_caller(std::move(socket));
            if (this->acceptor.is_open())
                this->accept();
        });
}

void request_handler::add_caller(relay::tcp::socket socket)
{
    if (this->callers.size() >= max_callers)
        return;
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

base::ip_endpoint request_handler::address() const
{
    const relay::tcp::endpoint local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

} // namespace greengagedrum::entry
