#include <greengagedrum/http/current_connection.hpp>
#include <greengagedrum/http/growing_pool.hpp>
#include <greengagedrum/http/listen_server.hpp>
#include <greengagedrum/http/socket_stream.hpp>

#include <gsl/gsl>
#include <sys/socket.h>
#include <unistd.h>

namespace greengagedrum::http
{

namespace
{

// Closing at once, with bytes of the caller unread, makes the kernel send a
// reset, which can overtake the answer; so what still comes is read for a
// moment.
constexpr std::chrono::milliseconds linger(1000);

void reuse_address_only(socket_t socket)
{
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

} // namespace

listen_server::listen_server(const server_settings& given) : settings(given)
{
    this->set_socket_options(reuse_address_only);
    this->set_address_family(AF_INET);
    this->set_tcp_nodelay(true);
    this->set_payload_max_length(given.payload_max);
    this->set_read_timeout(given.read_timeout);
    this->set_write_timeout(given.write_timeout);
    this->new_task_queue = [limit = given.threads_max] {
        return new growing_pool(limit);
    };
}

int listen_server::bind(const std::string& ip, int port)
{
    int bound = port;
    if (port == 0)
        bound = this->bind_to_any_port(ip);
    else if (!this->bind_to_port(ip, port))
        bound = -1;
    if (bound > 0)
        ::listen(this->svr_sock_, this->settings.backlog);
    return bound;
}

void listen_server::serve()
{
    this->listen_after_bind();
    // httplib has closed the descriptor but keeps its number here; a later
    // stop_accepting() would shut down whoever got that number next.
    const std::lock_guard lock(this->mutex);
    this->svr_sock_ = INVALID_SOCKET;
}

// httplib's stop() marks the server closed, upon which it ends every streamed
// answer early. A shut-down listening socket makes its accept loop end the
// same way, while handlers still see a running server.
void listen_server::stop_accepting()
{
    const std::lock_guard lock(this->mutex);
    if (this->draining)
        return;
    this->draining = true;
    const socket_t listening = this->svr_sock_;
    if (listening >= 0)
        ::shutdown(listening, SHUT_RDWR);
    // A request that had already arrived is still read after SHUT_RD.
    for (const auto& [socket, idle] : this->connections)
        if (idle)
            ::shutdown(socket, SHUT_RD);
}

bool listen_server::wait_closed(std::chrono::milliseconds patience)
{
    std::unique_lock lock(this->mutex);
    return this->closed.wait_for(
        lock, patience, [this] { return this->connections.empty(); });
}

void listen_server::abort_connections()
{
    const std::lock_guard lock(this->mutex);
    this->aborted = true;
    for (const auto& [socket, idle] : this->connections)
        ::shutdown(socket, SHUT_RDWR);
}

void listen_server::abort_connection(const httplib::Request& request)
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [socket, idle] : this->connections) {
        const socket_stream view(socket, {}, {});
        std::string ip;
        int port = 0;
        view.get_remote_ip_and_port(ip, port);
        if (port == request.remote_port && ip == request.remote_addr)
            ::shutdown(socket, SHUT_RDWR);
    }
}

std::size_t listen_server::open_connections()
{
    const std::lock_guard lock(this->mutex);
    return this->connections.size();
}

bool listen_server::process_and_close_socket(socket_t socket)
{
    {
        const std::lock_guard lock(this->mutex);
        this->connections.emplace(socket, true);
        if (this->aborted)
            ::shutdown(socket, SHUT_RDWR);
    }
    const auto close = gsl::finally([this, socket] {
        const std::lock_guard lock(this->mutex);
        this->connections.erase(socket);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        this->closed.notify_all();
    });
    socket_stream stream(
        socket, this->settings.read_timeout, this->settings.write_timeout);
    connection_scope scope(stream);
    std::size_t left = this->settings.keep_alive_requests;
    while (left > 0 && !scope.to_be_closed() && this->wait_next(stream)) {
        if (!this->serve_next(stream, left))
            break;
        --left;
    }
    if (scope.to_be_closed()) {
        ::shutdown(socket, SHUT_WR);
        stream.discard_until(socket_stream::clock::now() + linger);
    }
    return true;
}

bool listen_server::wait_next(socket_stream& stream)
{
    std::chrono::milliseconds patience = this->settings.keep_alive;
    {
        const std::lock_guard lock(this->mutex);
        this->connections[stream.socket()] = true;
        if (this->draining)
            patience = std::chrono::milliseconds(0);
    }
    const bool readable = stream.wait_readable(patience);
    const std::lock_guard lock(this->mutex);
    this->connections[stream.socket()] = false;
    return readable;
}

bool listen_server::serve_next(socket_stream& stream, std::size_t count)
{
    bool last = count == 1;
    {
        const std::lock_guard lock(this->mutex);
        last = last || this->draining;
    }
    stream.begin_request(this->settings.payload_max + this->settings.header_max,
                         socket_stream::clock::now() +
                             this->settings.request_timeout);
    bool connection_closed = false;
    const bool served =
        this->process_request(stream, last, connection_closed, nullptr);
    if (stream.bound_met())
        close_current_connection();
    return served && !last && !connection_closed;
}

} // namespace greengagedrum::http
