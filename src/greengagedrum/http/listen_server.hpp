// httplib's server with the parts replaced that would hurt under load.
//
// * The backlog is deepened after the bind: with httplib's own of 5 a burst of
//   connects drops SYNs, which shows as answers of one second.
// * The loop over a connection's requests is our own. httplib's wakes every
//   11 ms for each idle connection, and its stop() cuts streamed answers;
//   here an idle connection sleeps, and stop_accepting() cuts nothing.
// * Port sharing is off: httplib binds with SO_REUSEPORT, by which a second
//   daemon on the same port would silently take half the connections.
//
// It is not started by itself; `http::server` owns it and its thread.
#pragma once

#include <greengagedrum/http/server_settings.hpp>

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace greengagedrum::http
{

class socket_stream;

class listen_server final : public httplib::Server
{
public:
    explicit listen_server(const server_settings& given);

    // The port, or -1. `ip` is a number, `port` zero for any free one.
    int bind(const std::string& ip, int port);

    // Accepts until stop_accepting(), then joins the pool's threads.
    void serve();

    // No new connection and no further request on an open one; requests in
    // flight run on and their answers are written whole.
    void stop_accepting();

    // True once no connection is open.
    bool wait_closed(std::chrono::milliseconds patience);

    // Breaks every open connection at once.
    void abort_connections();

    // Breaks the connection that carries `request`, without an answer.
    void abort_connection(const httplib::Request& request);

    // Connections that are open now.
    std::size_t open_connections();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool serve_next(socket_stream& stream, std::size_t count);
    bool wait_next(socket_stream& stream);

    const server_settings settings;
    std::mutex mutex;
    std::condition_variable closed;
    std::map<socket_t, bool> connections; // the value: idle between requests
    bool draining = false;
    bool aborted = false;
};

} // namespace greengagedrum::http
