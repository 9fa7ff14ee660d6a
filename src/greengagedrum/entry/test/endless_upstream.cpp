#include <greengagedrum/entry/test/endless_upstream.hpp>

#include <boost/asio/read_until.hpp>

namespace greengagedrum::entry
{

namespace
{

namespace asio = relay::asio;
using relay::tcp;

constexpr std::string_view id_header = "X-Attempt-Id: ";
constexpr std::string_view id_mark = "%ID%";

std::string attempt_of(const std::string& head)
{
    const std::size_t value = head.find(id_header) + id_header.size();
    return head.substr(value, head.find('\r', value) - value);
}

} // namespace

endless_upstream::endless_upstream(endless_response chosen)
    : response(std::move(chosen)),
      acceptor(this->context,
               tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    this->listening_port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this] { this->serve(); });
}

endless_upstream::~endless_upstream()
{
    this->stopping = true;
    relay::error_code ignored; // wakes the thread that accepts
    tcp::socket last(this->context);
    last.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (std::thread& one : this->threads)
        one.join();
}

std::string endless_upstream::head()
{
    return "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n" +
           std::string(id_header) + std::string(id_mark) + "\r\n";
}

void endless_upstream::serve()
{
    while (true) {
        relay::error_code fault;
        tcp::socket connection = this->acceptor.accept(fault);
        if (this->stopping)
            return;
        if (fault)
            continue;
        this->threads.emplace_back(
            [this, one = std::move(connection)]() mutable {
                this->serve_connection(one);
            });
    }
}

void endless_upstream::serve_connection(tcp::socket& connection)
{
    relay::error_code fault;
    std::string head;
    asio::read_until(connection, asio::dynamic_buffer(head), "\r\n\r\n", fault);
    if (fault) // a connect check
        return;
    this->requests += 1;
    std::string begin = this->response.begin;
    const std::size_t at = begin.find(id_mark);
    if (at != std::string::npos)
        begin.replace(at, id_mark.size(), attempt_of(head));
    asio::write(connection, asio::buffer(begin), fault);
    if (!fault)
        this->write_pieces(connection);
    this->closed += 1;
}

// Returns once the entry has closed the connection. The socket does not block,
// so that the end of the test ends a write that the entry doesn't read.
void endless_upstream::write_pieces(tcp::socket& connection)
{
    connection.non_blocking(true);
    std::size_t written = 0; // of the piece under way
    for (int pieces = 0; !this->stopping;) {
        if (pieces == this->response.pieces_most) {
            connection.set_option(asio::socket_base::linger(true, 0));
            return connection.close();
        }
        relay::error_code fault;
        written += connection.write_some(
            asio::buffer(this->response.piece) + written, fault);
        if (fault && fault != asio::error::would_block)
            return;
        if (written < this->response.piece.size() && !fault)
            continue;
        if (!fault) {
            pieces += 1;
            written = 0;
        }
        std::this_thread::sleep_for(this->response.pause);
    }
}

} // namespace greengagedrum::entry
