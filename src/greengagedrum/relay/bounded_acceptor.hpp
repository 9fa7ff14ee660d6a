// Accepts connections while their owner has room for them and the process has
// descriptors. Connections beyond that wait in the kernel.
#pragma once

#include <greengagedrum/base/ip_address.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <functional>

namespace greengagedrum::relay
{

struct acceptor_events {
    std::function<bool()> has_room; // for one more connection
    // A connection waits, and there is no room or no descriptor for it: an idle
    // one may be closed.
    std::function<void()> full;
    std::function<void(tcp::socket)> accepted;
    // Accepting failed, for want of a descriptor as a rule; it is tried again.
    std::function<void(const error_code&)> failed;
};

// Listens on an address; throws boost::system::system_error.
tcp::acceptor listen_on(asio::io_context& context,
                        const base::ip_endpoint& address);

class bounded_acceptor
{
public:
    bounded_acceptor(asio::io_context& context, acceptor_events events);

    // Throws boost::system::system_error if the address can't be had.
    void listen(const base::ip_endpoint& address);
    // To be called when a connection has gone, so that there may be room.
    void resume();
    // Accepts what waits in the kernel and closes.
    void accept_rest_and_close();
    void close();

    // Of connections accepted from now on, in the kernel.
    void set_buffer_bytes(int bytes);

    // The listening address, with the actual port if it was configured as 0.
    base::ip_endpoint address() const;

private:
    void wait();
    void accept_one();
    void pause_after(const error_code& fault);

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer retry;
    acceptor_events events;
    bool paused = false; // until there is room
};

} // namespace greengagedrum::relay
