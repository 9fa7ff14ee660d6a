#include <greengagedrum/entry/test/raw_upstream.hpp>

#include <array>

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

std::size_t body_size(const std::string& head)
{
    const std::string length = header_value(head, "Content-Length");
    return length.empty() ? 0 : std::stoul(length);
}

} // namespace

raw_upstream::raw_upstream(responder chosen)
    : acceptor(this->context,
               tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      respond(std::move(chosen))
{
    this->listening_port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this] { this->serve(); });
}

raw_upstream::~raw_upstream()
{
    this->stopping = true;
    // Wakes the thread that accepts connections.
    relay::error_code ignored;
    tcp::socket last(this->context);
    last.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(),
                      static_cast<std::uint16_t>(this->listening_port)),
        ignored);
    this->thread.join();
}

void raw_upstream::serve()
{
    while (true) {
        relay::error_code fault;
        tcp::socket connection = this->acceptor.accept(fault);
        if (this->stopping)
            return;
        if (!fault)
            this->answer(std::move(connection));
    }
}

void raw_upstream::answer(tcp::socket connection)
{
    relay::error_code fault;
    std::string received;
    std::array<char, 4096> buffer{};
    std::size_t head_size = std::string::npos;
    while (head_size == std::string::npos) {
        const std::size_t count =
            connection.read_some(asio::buffer(buffer), fault);
        if (fault)
            return;
        received.append(buffer.data(), count);
        head_size = received.find(head_end);
    }
    const std::string head = received.substr(0, head_size);
    std::size_t arrived = received.size() - head_size - head_end.size();
    while (arrived < body_size(head)) {
        arrived += connection.read_some(asio::buffer(buffer), fault);
        if (fault)
            return;
    }
    this->requests += 1;
    std::string rest = this->respond(head);
    std::string status_line = "HTTP/1.1 200 OK\r\n";
    if (rest.starts_with("HTTP/1.1 ")) {
        status_line = rest.substr(0, rest.find('\n') + 1);
        rest.erase(0, status_line.size());
    }
    const std::string bytes =
        status_line + "X-Response-Signature: signed\r\nX-Attempt-Id: " +
        header_value(head, "X-Attempt-Id") + "\r\n" + rest;
    asio::write(connection, asio::buffer(bytes), fault);
}

} // namespace greengagedrum::entry
