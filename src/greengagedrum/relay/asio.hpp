// The parts of Boost.Asio that the relay uses, and the names it gives them.
#pragma once

// What needs no template is compiled once, in asio_source.cpp.
#ifndef BOOST_ASIO_SEPARATE_COMPILATION
#define BOOST_ASIO_SEPARATE_COMPILATION
#endif

// <utility> first: Boost 1.74 under C++20 does not find std::exchange else.
#include <greengagedrum/base/ip_address.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace greengagedrum::relay
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using error_code = boost::system::error_code;

// Read from a socket at once: a prompt of a few thousand tokens, or a dozen
// events.
inline constexpr std::size_t read_bytes = 16'384;

// Whether a call failed for want of a resource of this process or machine.
inline bool is_own_shortage(const error_code& fault)
{
    using namespace boost::system::errc;
    return fault == too_many_files_open ||
           fault == too_many_files_open_in_system || fault == no_buffer_space ||
           fault == not_enough_memory || fault == address_not_available ||
           fault == resource_unavailable_try_again;
}

inline tcp::endpoint tcp_endpoint(const base::ip_endpoint& from)
{
    return {asio::ip::make_address(from.ip), from.port};
}

} // namespace greengagedrum::relay
