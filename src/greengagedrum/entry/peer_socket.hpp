// The sockets behind peer_transport: a UDP socket on the peers' port, and an
// HTTP client that fetches configuration items from peers.
#pragma once

#include <greengagedrum/entry/peer_transport.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace greengagedrum::entry
{

class peer_socket
{
public:
    using datagram_handler =
        std::function<void(std::string_view bytes, const std::string& from)>;

    peer_socket(relay::asio::io_context& context,
                const std::string& ip,
                std::uint16_t port);

    // The result refers to this object and must not outlive it.
    peer_transport transport();

    void start(datagram_handler on_datagram, std::function<void()> on_timer);

private:
    void receive();
    void send(std::string_view bytes, gossip::ipv4_address to);
    void start_timer(base::duration after);

    relay::udp::socket socket;
    relay::udp::endpoint remote;
    // FlatBuffers reads numbers in place, so the buffer is aligned.
    alignas(std::uint64_t) std::array<char, 65'536> receive_buffer{};
    relay::asio::steady_timer timer;
    std::shared_ptr<relay::http_get> client;
    std::uint16_t port;
    datagram_handler on_datagram;
    std::function<void()> on_timer;
};

} // namespace greengagedrum::entry
