// The sockets of peer_link: datagrams on the peers' port, and a client for
// items that a peer passes on.
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
    using on_datagram =
        std::function<void(std::string_view bytes, const std::string& from)>;

    peer_socket(relay::asio::io_context& context,
                const std::string& ip,
                std::uint16_t port);

    // Valid as long as this object is.
    peer_transport transport();

    void begin(on_datagram arrived, std::function<void()> wake);

private:
    void receive();
    void send(std::string_view bytes, gossip::ipv4_address to);
    void wake_after(base::duration after);

    relay::udp::socket socket;
    relay::udp::endpoint sender;
    // FlatBuffers read numbers where they lie.
    alignas(std::uint64_t) std::array<char, 65'536> bytes{};
    relay::asio::steady_timer timer;
    std::shared_ptr<relay::http_get> client;
    std::uint16_t port;
    on_datagram arrived;
    std::function<void()> wake;
};

} // namespace greengagedrum::entry
