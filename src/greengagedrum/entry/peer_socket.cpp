#include <greengagedrum/entry/peer_socket.hpp>

#include <gsl/util>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

peer_socket::peer_socket(relay::asio::io_context& context,
                         const std::string& ip,
                         std::uint16_t port)
    : socket(context), timer(context),
      client(std::make_shared<relay::http_get>(context)), port(port)
{
    const relay::udp::endpoint address(relay::asio::ip::make_address(ip), port);
    this->socket.open(address.protocol());
    this->socket.bind(address);
    this->socket.non_blocking(true);
}

peer_transport peer_socket::transport()
{
    peer_transport out;
    out.send = [this](std::string_view bytes, gossip::ipv4_address to) {
        this->send(bytes, to);
    };
    out.start_timer = [this](base::duration after) {
        this->start_timer(after);
    };
    out.fetch = [this](const base::ip_endpoint& of,
                       const std::string& target,
                       const relay::answer_limits& limits,
                       relay::http_get::answer on_answer) {
        this->client->ask(of, target, limits, std::move(on_answer));
    };
    return out;
}

void peer_socket::start(datagram_handler handler,
                        std::function<void()> timer_handler)
{
    this->on_datagram = std::move(handler);
    this->on_timer = std::move(timer_handler);
    this->receive();
}

void peer_socket::receive()
{
    this->socket.async_receive_from(
        relay::asio::buffer(this->receive_buffer),
        this->remote,
        [this](relay::error_code error, std::size_t count) {
            if (error == relay::asio::error::operation_aborted)
                return;
            const auto next = gsl::finally([this] { this->receive(); });
            // An ICMP error for an earlier datagram is reported here; it is
            // ignored.
            if (!error)
                this->on_datagram({this->receive_buffer.data(), count},
                                  this->remote.address().to_string());
        });
}

void peer_socket::send(std::string_view bytes, gossip::ipv4_address to)
{
    const relay::udp::endpoint receiver(relay::asio::ip::address_v4(to),
                                        this->port);
    const std::uint64_t unsent_before =
        this->counting ? this->bytes_unsent() : 0;
    relay::error_code ignored;
    this->socket.send_to(
        relay::asio::buffer(bytes.data(), bytes.size()), receiver, 0, ignored);
    if (!this->counting)
        return;
    // What left in between is not counted as written either.
    const std::uint64_t unsent = this->bytes_unsent();
    this->bytes_written += unsent - std::min(unsent, unsent_before);
}

std::uint64_t peer_socket::bytes_unsent()
{
    int count = 0;
    const int failed = ::ioctl(this->socket.native_handle(), SIOCOUTQ, &count);
    return failed == 0 && count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

gossip::load_observation peer_socket::queue()
{
    gossip::load_observation out;
    out.datagram_bytes_written = this->bytes_written;
    out.datagram_bytes_unsent = this->bytes_unsent();
    return out;
}

void peer_socket::start_timer(base::duration after)
{
    this->timer.expires_after(after);
    this->timer.async_wait([this](relay::error_code error) {
        if (!error)
            this->on_timer();
    });
}

} // namespace greengagedrum::entry
