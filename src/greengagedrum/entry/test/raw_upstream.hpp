// An upstream that writes the bytes which a test gives it and then ends its
// connection, for responses that an HTTP library would not write.
#pragma once

#include <greengagedrum/relay/asio.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace greengagedrum::entry
{

class raw_upstream
{
public:
    // Given the head of a request, returns the bytes after the headers that
    // every upstream sends, or a status line, other than that of a success, and
    // those bytes.
    using responder = std::function<std::string(const std::string& head)>;

    explicit raw_upstream(responder respond);
    ~raw_upstream();
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    int port() const { return this->listening_port; }
    int request_count() const { return this->requests; }

private:
    void serve();
    void answer(relay::tcp::socket connection);

    relay::asio::io_context context;
    relay::tcp::acceptor acceptor;
    int listening_port = 0;
    responder respond;
    std::atomic<bool> stopping{false};
    std::atomic<int> requests{0}; // received whole
    std::thread thread;
};

} // namespace greengagedrum::entry
