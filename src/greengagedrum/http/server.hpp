// An HTTP server with a thread of its own: bind, serve, stop.
//
// Register handlers through `routes()` before `start`. A handler must end by
// itself in bounded time: stop() waits for handlers, breaks the connections
// that are still open after its patience, and joins every thread.
#pragma once

#include <greengagedrum/http/server_settings.hpp>

#include <httplib.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace greengagedrum::http
{

class listen_server;

class server
{
public:
    explicit server(const server_settings& settings = {});
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server(); // kill()s what still runs

    httplib::Server& routes();

    // Binds "IP:port" (numbers only; port 0 for any free one) and serves.
    // False when the address is malformed or taken, or after a first start.
    bool start(std::string_view address);

    // Zero before start.
    int port() const { return this->bound_port; }

    // "IP:port" as bound.
    std::string address() const;

    // Refuses new connections, lets running requests end for at most
    // `patience`, then breaks the rest. Idempotent; not from a handler.
    void stop(std::chrono::milliseconds patience);

    // Breaks every connection at once. Idempotent; not from a handler.
    void kill() { this->stop(std::chrono::milliseconds(0)); }

    // First half of stop(): returns at once, cuts nothing.
    void stop_accepting();

    // Breaks the open connections and every later one. Any thread may call
    // it, a handler too; stop() still has to follow.
    void abort_connections();

    // Breaks the connection that carries `request`, for a handler that wants
    // to give no answer at all.
    void abort_connection(const httplib::Request& request);

    std::size_t open_connections();

private:
    std::unique_ptr<listen_server> inner;
    std::string bound_ip;
    int bound_port = 0;
    std::thread accepting;
};

} // namespace greengagedrum::http
