// The bounds of an HTTP server. httplib's own defaults (backlog 5, five
// requests a connection, no payload limit) are all replaced by these.
#pragma once

#include <chrono>
#include <cstddef>

namespace greengagedrum::http
{

struct server_settings {
    std::size_t threads_max = 256; // one open connection holds one thread
    int backlog = 1024;            // connections not yet accepted
    std::size_t payload_max = std::size_t{1} << 20U; // bytes of a body
    std::size_t header_max = std::size_t{64} << 10U; // bytes, all headers
    std::size_t keep_alive_requests = 1'000'000;     // on one connection
    std::chrono::milliseconds keep_alive{30'000};    // idle, then closed
    std::chrono::milliseconds read_timeout{10'000};
    std::chrono::milliseconds request_timeout{60'000}; // to read all of one
    std::chrono::milliseconds write_timeout{10'000};
};

} // namespace greengagedrum::http
