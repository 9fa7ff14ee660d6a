#include <greengagedrum/relay/bounded_acceptor.hpp>

#include <gsl/util>

#include <utility>

namespace greengagedrum::relay
{

namespace
{

// The kernel reports a waiting connection again at once, whether or not it can
// be accepted.
constexpr auto retry_interval = std::chrono::milliseconds(100);

constexpr int backlog = 1024;

} // namespace

tcp::acceptor listen_on(asio::io_context& context,
                        const base::ip_endpoint& address)
{
    const tcp::endpoint endpoint = tcp_endpoint(address);
    tcp::acceptor out(context);
    out.open(endpoint.protocol());
    out.set_option(tcp::acceptor::reuse_address(true));
    out.bind(endpoint);
    out.listen(backlog);
    return out;
}

bounded_acceptor::bounded_acceptor(asio::io_context& context,
                                   acceptor_events events)
    : context(context), acceptor(context), retry(context),
      events(std::move(events))
{
}

void bounded_acceptor::listen(const base::ip_endpoint& address)
{
    this->acceptor = listen_on(this->context, address);
    this->acceptor.non_blocking(true);
    this->wait();
}

void bounded_acceptor::wait()
{
    this->acceptor.async_wait(tcp::acceptor::wait_read,
                              [this](error_code fault) {
                                  if (!fault && this->acceptor.is_open())
                                      this->accept_one();
                              });
}

void bounded_acceptor::accept_one()
{
    if (!this->events.has_room()) {
        this->paused = true;
        return this->events.full();
    }
    tcp::socket socket(this->context);
    error_code fault;
    this->acceptor.accept(socket, fault);
    if (fault && fault != asio::error::would_block &&
        fault != asio::error::connection_aborted)
        return this->pause_after(fault);
    const auto next = gsl::finally([this] {
        if (this->acceptor.is_open())
            this->wait();
    });
    if (!fault)
        this->events.accepted(std::move(socket));
}

void bounded_acceptor::pause_after(const error_code& fault)
{
    this->events.failed(fault);
    this->events.full();
    this->retry.expires_after(retry_interval);
    this->retry.async_wait([this](error_code cancelled) {
        if (!cancelled && this->acceptor.is_open())
            this->wait();
    });
}

void bounded_acceptor::resume()
{
    if (!this->paused || !this->acceptor.is_open())
        return;
    this->paused = false;
    this->wait();
}

void bounded_acceptor::accept_rest_and_close()
{
    error_code fault;
    while (!fault) {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket, fault);
        if (!fault)
            this->events.accepted(std::move(socket));
    }
    this->close();
}

void bounded_acceptor::close()
{
    error_code ignored; // closed either way
    this->retry.cancel();
    this->acceptor.close(ignored);
}

void bounded_acceptor::set_buffer_bytes(int bytes)
{
    error_code ignored; // the kernel holds more, no more than that
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(bytes),
                              ignored);
    this->acceptor.set_option(asio::socket_base::send_buffer_size(bytes),
                              ignored);
}

base::ip_endpoint bounded_acceptor::address() const
{
    const tcp::endpoint local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

} // namespace greengagedrum::relay
