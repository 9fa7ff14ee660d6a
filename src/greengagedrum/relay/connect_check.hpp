// Whether anyone accepts connections at an address: one connect, closed at
// once.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/relay/asio.hpp>

#include <functional>
#include <memory>

namespace greengagedrum::relay
{

class connect_check : public std::enable_shared_from_this<connect_check>
{
public:
    // True when the connect succeeded.
    using answer = std::function<void(bool)>;

    connect_check(asio::io_context& context, answer tell);

    // Connects after `delay`; `tell` is called once, within the connect's
    // bound.
    void start(const base::ip_endpoint& address, base::duration delay);

private:
    void connect(const tcp::endpoint& to);
    void end(bool accepted);

    tcp::socket socket;
    asio::steady_timer timer;
    answer tell;
};

} // namespace greengagedrum::relay
