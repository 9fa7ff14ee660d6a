// An upstream that serves several requests on one connection, with bytes that
// the test gives it.
#pragma once

#include <greengagedrum/relay/asio.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::entry
{

class persistent_upstream
{
public:
    // Given the attempt id of a request and its number on its connection, from
    // 1 on, returns the bytes of the response; empty: the connection is closed.
    using responder =
        std::function<std::string(const std::string& attempt, int number)>;

    explicit persistent_upstream(responder respond);
    ~persistent_upstream();
    persistent_upstream(const persistent_upstream&) = delete;
    persistent_upstream& operator=(const persistent_upstream&) = delete;

    // A signed response of that body, on a connection kept for `timeout`.
    static std::string response(const std::string& attempt,
                                const std::string& body,
                                const std::string& timeout = "timeout=1");

    int port() const { return this->listening_port; }
    int connection_count() const { return this->connections; }
    int request_count() const { return this->requests; }

private:
    void serve();
    void serve_connection(relay::tcp::socket& connection);

    relay::asio::io_context context;
    relay::tcp::acceptor acceptor;
    int listening_port = 0;
    responder respond;
    std::atomic<bool> stopping{false};
    std::atomic<int> connections{0};
    std::atomic<int> requests{0};
    std::vector<std::thread> threads; // of the connections
    std::thread thread;               // accepts; started last
};

} // namespace greengagedrum::entry
