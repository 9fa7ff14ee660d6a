// Gets a connection to an upstream through a peer.
//
// Until the peer replies that it is connected, no byte of the caller's request
// has been sent to anybody.
#pragma once

#include <greengagedrum/relay/asio.hpp>
#include <greengagedrum/relay/tunnel_codec.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace greengagedrum::relay
{

enum class tunnel_failure : std::uint8_t {
    peer_unreachable, // or its reply is invalid or overdue
    rejected,
    upstream_unreachable, // from the peer
};

class tunnel_client : public std::enable_shared_from_this<tunnel_client>
{
public:
    using result = std::variant<tcp::socket, tunnel_failure>;

    tunnel_client(asio::io_context& context, std::function<void(result)> tell);

    // `own_ip`: the address by which the peer knows this entry.
    void start(const base::ip_endpoint& peer,
               const std::string& own_ip,
               const tunnel_request& asked);

    // Gives up; nothing is told.
    void stop();

private:
    void read();
    void on_read(error_code fault, std::size_t count);
    void fail(tunnel_failure why);

    tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(result)> tell;
    std::string text;
    std::string inbox;
    std::array<char, 64> arrived{};
};

} // namespace greengagedrum::relay
