// An upstream that begins its responses with bytes that a test gives it and
// then repeats a piece until the entry closes the connection.
#pragma once

#include <greengagedrum/relay/asio.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::entry
{

struct endless_response {
    // %ID% stands for the attempt id of the request.
    std::string begin;
    std::string piece;
    // Bounds the load on the machine.
    std::chrono::milliseconds pause{1};
    // After that many pieces the connection is reset; negative: never.
    int pieces_most = -1;
};

class endless_upstream
{
public:
    explicit endless_upstream(endless_response chosen);
    // Waits until the entry has closed its connections, but not for long.
    ~endless_upstream();
    endless_upstream(const endless_upstream&) = delete;
    endless_upstream& operator=(const endless_upstream&) = delete;

    // The headers of a signed response, without the empty line after them.
    static std::string head();

    int port() const { return this->listening_port; }
    int request_count() const { return this->requests; }
    // Connections on which a request came and that the entry has not closed.
    int open_count() const { return this->requests - this->closed; }

private:
    void serve();
    void serve_connection(relay::tcp::socket& connection);
    void write_pieces(relay::tcp::socket& connection);

    endless_response response;
    relay::asio::io_context context;
    relay::tcp::acceptor acceptor;
    int listening_port = 0;
    std::atomic<bool> stopping{false};
    std::atomic<int> requests{0};
    std::atomic<int> closed{0};
    std::vector<std::thread> threads; // of the connections
    std::thread thread;               // accepts; started last
};

} // namespace greengagedrum::entry
