// The parts of Boost.Asio that the relay uses, and the names it gives them.
#pragma once

// <utility> first: Boost 1.74 under C++20 does not find std::exchange else.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <greengagedrum/base/ip_address.hpp>

namespace greengagedrum::relay
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using error_code = boost::system::error_code;

inline tcp::endpoint tcp_endpoint(const base::ip_endpoint& from)
{
    return {asio::ip::make_address(from.ip), from.port};
}

} // namespace greengagedrum::relay
