#include <greengagedrum/entry/test/change_caller.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <span>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr auto answer_timeout = 5s;

// A system call with a time-out isn't restarted after the process was stopped.
ssize_t receive(int socket, std::span<char> into)
{
    ssize_t count = 0;
    do {
        count = ::recv(socket, into.data(), into.size(), 0);
    } while (count < 0 && errno == EINTR);
    return count;
}

} // namespace

bool caller_outcome::says_not_run() const
{
    return this->body.starts_with("{\"error\"") && this->status != 502 &&
           this->status != 504;
}

change_caller::change_caller(const base::ip_endpoint& entry_address)
    : socket(this->context)
{
    this->socket.connect(relay::tcp_endpoint(entry_address));
    const timeval limit{answer_timeout.count(), 0};
    ::setsockopt(this->socket.native_handle(),
                 SOL_SOCKET,
                 SO_RCVTIMEO,
                 &limit,
                 sizeof(limit));
}

void change_caller::write(std::string_view bytes)
{
    relay::error_code ignored; // the entry may have refused and closed
    relay::asio::write(this->socket, relay::asio::buffer(bytes), ignored);
}

caller_outcome change_caller::read_answer()
{
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    relay::error_code fault;
    std::array<char, 4096> piece{};
    while (!parser.is_done()) {
        if (!this->unread.empty())
            this->unread.erase(
                0, parser.put(relay::asio::buffer(this->unread), fault));
        if (parser.is_done() ||
            (fault && fault != http::make_error_code(http::error::need_more)))
            break;
        const ssize_t count = receive(this->socket.native_handle(), piece);
        if (count <= 0)
            break;
        this->unread.append(piece.data(), static_cast<std::size_t>(count));
    }
    caller_outcome out;
    out.whole = parser.is_done();
    if (parser.is_header_done()) {
        out.status = static_cast<int>(parser.get().result_int());
        out.closes = !parser.get().keep_alive();
        out.body = parser.get().body();
    }
    return out;
}

} // namespace greengagedrum::entry
