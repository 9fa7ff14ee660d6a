// Passes the bytes of one request and its answer between the connection of a
// peer and one to an upstream.
//
// Each direction has one buffer and is read only when it is empty, so the
// slower end holds back the faster one. The ends of the connections are passed
// on as they are: a close of the upstream as a close, a reset as a reset, since
// the end of a body may be told by nothing else. The peer's end, however it
// comes, ends the request; so does a peer that takes nothing for a long time.
#pragma once

#include <greengagedrum/relay/asio.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace greengagedrum::relay
{

class tunnel : public std::enable_shared_from_this<tunnel>
{
public:
    struct totals {
        std::uint64_t to_upstream = 0; // bytes
        std::uint64_t to_peer = 0;
        std::string error; // empty: both ends closed in order
    };

    tunnel(tcp::socket peer,
           tcp::socket upstream,
           std::function<void(const totals&)> ended);

    // `first`: bytes of the peer that have been read already.
    void start(std::string first);

    // Resets both connections.
    void abort();

private:
    void read_peer();
    void write_upstream(std::size_t count);
    void read_upstream();
    void write_peer(std::size_t count);
    void on_upstream_end(error_code fault);
    // Ends the tunnel unless a write or an end follows in time.
    void start_timer(std::chrono::seconds within);
    void end(const std::string& error);

    tcp::socket peer;
    tcp::socket upstream;
    asio::steady_timer timer;
    std::function<void(const totals&)> ended;
    std::array<char, read_bytes> from_peer{};
    std::array<char, read_bytes> from_upstream{};
    totals count;
    bool upstream_write_failed = false;
    bool over = false;
};

} // namespace greengagedrum::relay
