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

    // Datagrams are counted from now on, for `queue`.
    void count_datagrams() { this->counting = true; }
    // The bytes written to the datagram socket, and those that have not left
    // it, as the kernel charges them: with its overhead.
    gossip::load_observation queue();

    void start(datagram_handler on_datagram, std::function<void()> on_timer);

private:
    void receive();
    void send(std::string_view bytes, gossip::ipv4_address to);
    void start_timer(base::duration after);
    std::uint64_t bytes_unsent();

    relay::udp::socket socket;
    relay::udp::endpoint remote;
    // FlatBuffers reads numbers in place, so the buffer is aligned.
    alignas(std::uint64_t) std::array<char, 65'536> receive_buffer{};
    relay::asio::steady_timer timer;
    std::shared_ptr<relay::http_get> client;
    std::uint16_t port;
    bool counting = false;
    std::uint64_t bytes_written = 0; // as the kernel charges them
    datagram_handler on_datagram;
    std::function<void()> on_timer;
};

} // namespace greengagedrum::entry
