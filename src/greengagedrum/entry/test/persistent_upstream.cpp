#include <greengagedrum/entry/test/persistent_upstream.hpp>

#include <boost/asio/read_until.hpp>

namespace greengagedrum::entry
{

namespace
{

namespace asio = relay::asio;
using relay::tcp;

constexpr std::string_view head_end = "\r\n\r\n";

std::string header_value(const std::string& head, const std::string& name)
{
    const std::size_t begin = head.find(name + ": ");
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + name.size() + 2;
    return head.substr(value, head.find('\r', value) - value);
}

} // namespace

persistent_upstream::persistent_upstream(responder chosen)
    : acceptor(this->context,
               tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      respond(std::move(chosen))
{
    this->listening_port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this] { this->serve(); });
}

// The entry closes its connections first, which ends their threads.
persistent_upstream::~persistent_upstream()
{
    this->stopping = true;
    relay::error_code ignored;
    tcp::socket last(this->context);
    last.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (std::thread& one : this->threads)
        one.join();
}

std::string persistent_upstream::response(const std::string& attempt,
                                          const std::string& body,
                                          const std::string& timeout)
{
    return "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nX-Attempt-Id: " +
           attempt + "\r\nKeep-Alive: " + timeout +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void persistent_upstream::serve()
{
    while (true) {
        relay::error_code fault;
        tcp::socket connection = this->acceptor.accept(fault);
        if (this->stopping)
            return;
        if (fault)
            continue;
        this->connections += 1;
        this->threads.emplace_back(
            [this, one = std::move(connection)]() mutable {
                this->serve_connection(one);
            });
    }
}

void persistent_upstream::serve_connection(tcp::socket& connection)
{
    std::string received;
    for (int number = 1;; ++number) {
        relay::error_code fault;
        const std::size_t size = asio::read_until(
            connection, asio::dynamic_buffer(received), head_end, fault);
        if (fault)
            return;
        const std::string head = received.substr(0, size);
        received.erase(0, size); // the test's requests have no body
        this->requests += 1;
        const std::string bytes =
            this->respond(header_value(head, "X-Attempt-Id"), number);
        if (bytes.empty())
            return;
        asio::write(connection, asio::buffer(bytes), fault);
    }
}

} // namespace greengagedrum::entry
