// Boost.Asio's coroutines, with errors in a variable instead of exceptions.
#pragma once

#include <greengagedrum/relay/asio.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <functional>
#include <memory>

namespace soak
{

namespace asio = greengagedrum::relay::asio;
using asio::ip::tcp;
using greengagedrum::relay::error_code;
using task = asio::awaitable<void>;
using clock = std::chrono::steady_clock;

inline auto into(error_code& fault)
{
    return asio::redirect_error(asio::use_awaitable, fault);
}

inline void start(asio::io_context& context, task what)
{
    // What it throws ends the test.
    asio::co_spawn(context, std::move(what), [](std::exception_ptr thrown) {
        if (thrown)
            std::rethrow_exception(std::move(thrown));
    });
}

inline task pause(asio::io_context& context, clock::duration length)
{
    asio::steady_timer timer(context, length);
    error_code ignored;
    co_await timer.async_wait(into(ignored));
}

inline asio::awaitable<bool> write(tcp::socket& to, const std::string& bytes)
{
    error_code fault;
    co_await asio::async_write(to, asio::buffer(bytes), into(fault));
    co_return !fault;
}

// The other side sees a reset.
inline void abort(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

// Accepts connections until `acceptor` is closed.
inline void listen(asio::io_context& context,
                   const tcp::endpoint& address,
                   std::shared_ptr<tcp::acceptor>& acceptor,
                   std::function<void(tcp::socket)> accepted)
{
    acceptor = std::make_shared<tcp::acceptor>(context, address);
    const auto serve = [](auto from, auto take) -> task {
        while (from->is_open()) {
            error_code fault;
            tcp::socket next = co_await from->async_accept(into(fault));
            if (!fault && from->is_open())
                take(std::move(next));
        }
    };
    start(context, serve(acceptor, std::move(accepted)));
}

} // namespace soak
