#include <greengagedrum/relay/tunnel_client.hpp>

namespace greengagedrum::relay
{

namespace
{

// The connect to the peer, and the peer's own to the upstream.
constexpr auto reply_timeout = std::chrono::milliseconds(600);

} // namespace

tunnel_client::tunnel_client(asio::io_context& context,
                             std::function<void(result)> tell)
    : socket(context), timer(context), tell(std::move(tell))
{
}

void tunnel_client::start(const base::ip_endpoint& peer,
                          const std::string& own_ip,
                          const tunnel_request& asked)
{
    this->text = encode(asked);
    const tcp::endpoint to = tcp_endpoint(peer);
    error_code ignored; // a peer that doesn't know the address rejects it
    this->socket.open(to.protocol(), ignored);
    this->socket.bind({asio::ip::make_address(own_ip, ignored), 0}, ignored);
    this->timer.expires_after(reply_timeout);
    this->timer.async_wait([self = this->shared_from_this()](error_code fault) {
        if (!fault)
            self->fail(tunnel_failure::peer_unreachable);
    });
    this->socket.async_connect(
        to, [self = this->shared_from_this()](error_code fault) {
            if (!self->tell)
                return;
            if (fault)
                return self->fail(tunnel_failure::peer_unreachable);
            asio::async_write(self->socket,
                              asio::buffer(self->text),
                              [self](error_code, std::size_t) {
                                  // A fault shows as a missing reply.
                              });
            self->read();
        });
}

void tunnel_client::read()
{
    this->socket.async_read_some(
        asio::buffer(this->arrived),
        [self = this->shared_from_this()](error_code fault, std::size_t count) {
            if (self->tell)
                self->on_read(fault, count);
        });
}

void tunnel_client::on_read(error_code fault, std::size_t count)
{
    if (fault)
        return this->fail(tunnel_failure::peer_unreachable);
    this->inbox.append(this->arrived.data(), count);
    const auto size = tunnel_frame_size(this->inbox);
    if (size && *size > tunnel_frame_most)
        return this->fail(tunnel_failure::peer_unreachable);
    if (!size || this->inbox.size() < *size)
        return this->read();
    // Nothing follows the reply before a request was sent: a longer one is
    // invalid.
    const auto verdict = this->inbox.size() == *size
                             ? decode_tunnel_verdict(this->inbox)
                             : std::nullopt;
    if (!verdict)
        return this->fail(tunnel_failure::peer_unreachable);
    if (*verdict == tunnel_verdict::rejected)
        return this->fail(tunnel_failure::rejected);
    if (*verdict == tunnel_verdict::unreachable)
        return this->fail(tunnel_failure::upstream_unreachable);
    this->timer.cancel();
    const auto told = std::exchange(this->tell, nullptr);
    told(std::move(this->socket));
}

void tunnel_client::fail(tunnel_failure why)
{
    const auto told = std::exchange(this->tell, nullptr);
    if (!told)
        return;
    this->stop();
    told(why);
}

void tunnel_client::stop()
{
    this->tell = nullptr;
    this->timer.cancel();
    error_code ignored; // nothing of a request was sent on it
    this->socket.close(ignored);
}

} // namespace greengagedrum::relay
