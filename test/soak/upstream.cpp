#include "upstream.hpp"

#include <charconv>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
namespace relay = greengagedrum::relay;

constexpr auto work_time = 20ms;
constexpr auto event_gap = 15ms;
constexpr auto ignored_for = 4s;
constexpr auto idle_time = 1500ms;
constexpr auto short_idle_time = 30ms;
constexpr relay::read_bounds request_bounds{16'384, 8U << 20U};

std::string header_of(const relay::request_head& head, std::string_view name)
{
    return std::string(relay::find_header(head.headers, name).value_or(""));
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(
        digits.data(), digits.data() + digits.size(), bytes.size(), 16);
    return std::string(digits.data(), end.ptr) + "\r\n" + bytes + "\r\n";
}

asio::awaitable<bool> write(tcp::socket& to, const std::string& bytes)
{
    error_code fault;
    co_await asio::async_write(to, asio::buffer(bytes), into(fault));
    co_return !fault;
}

} // namespace

std::size_t target_number(std::string_view target, std::string_view name)
{
    const std::size_t begin = target.find(std::string(name) + "=");
    std::size_t out = 0;
    if (begin != std::string_view::npos)
        std::from_chars(target.data() + begin + name.size() + 1,
                        target.data() + target.size(),
                        out);
    return out;
}

std::string event_for(const std::string& attempt, std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " +
           text_for(attempt + "#" + std::to_string(number), event_bytes) +
           "\n\n";
}

upstream::upstream(asio::io_context& context,
                   upstream_place place,
                   ledger& ledger)
    : context(context), place(std::move(place)), records(ledger)
{
    this->listen();
}

void upstream::listen()
{
    this->life += 1;
    this->acceptor.emplace(this->context, this->place.address);
    start(this->context, this->accept(this->life));
}

void upstream::set(upstream_state wanted)
{
    const upstream_state before = std::exchange(this->state, wanted);
    if (wanted != upstream_state::crashed) {
        if (before == upstream_state::crashed)
            this->listen();
        return;
    }
    this->acceptor.reset();
    for (const auto& one : std::exchange(this->connections, {})) {
        if (const socket_ptr open = one.lock())
            abort(*open);
    }
}

task upstream::accept(std::uint64_t life)
{
    while (life == this->life && this->acceptor) {
        error_code fault;
        auto next = co_await this->acceptor->async_accept(into(fault));
        if (fault)
            continue;
        const auto connection = std::make_shared<tcp::socket>(std::move(next));
        std::erase_if(this->connections,
                      [](const auto& one) { return one.expired(); });
        this->connections.push_back(connection);
        start(this->context, this->serve(connection));
    }
}

asio::awaitable<bool> upstream::read_until(tcp::socket& from,
                                           std::string& inbox,
                                           reader_ptr& reader,
                                           bool whole)
{
    std::array<char, relay::read_bytes> arrived{};
    while (true) {
        const auto taken = reader->feed(inbox);
        if (!taken) {
            this->records.violation(this->place.name +
                                    " can't read: " + taken.error().why);
            co_return false;
        }
        inbox.erase(0, *taken);
        if (reader->done() || (reader->head_done() && !whole))
            co_return true;
        error_code fault;
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(arrived), into(fault));
        if (fault)
            co_return false;
        inbox.append(arrived.data(), count);
    }
}

task upstream::serve(socket_ptr connection)
{
    std::string inbox;
    while (true) {
        auto reader = std::make_unique<relay::request_reader>(request_bounds);
        asio::steady_timer idle(this->context,
                                this->state == upstream_state::closing_idle
                                    ? short_idle_time
                                    : idle_time);
        idle.async_wait([connection](error_code fault) {
            if (!fault)
                connection->close(fault);
        });
        if (!co_await this->read_until(*connection, inbox, reader, false))
            co_return;
        idle.cancel();
        const bool runs = this->begin(reader->head());
        if (this->state == upstream_state::ignoring_bodies) {
            co_await pause(this->context, ignored_for);
            co_return abort(*connection);
        }
        if (!co_await this->read_until(*connection, inbox, reader, true))
            co_return;
        const std::string attempt = header_of(reader->head(), "X-Attempt-Id");
        if (!runs) {
            const bool other = header_of(reader->head(), "X-Target-Instance") !=
                               this->place.name;
            if (!co_await write(*connection,
                                this->refusal(attempt, other ? 421 : 503)))
                co_return;
        } else if (!co_await this->answer(*connection, reader)) {
            co_return;
        }
    }
}

bool upstream::begin(const relay::request_head& head)
{
    if (this->state == upstream_state::rejecting ||
        header_of(head, "X-Target-Instance") != this->place.name)
        return false;
    this->records.began(header_of(head, "X-Attempt-Id"), this->place.name);
    if (head.target.starts_with("/east/") && this->place.region != "east")
        this->records.violation(head.target + " ran in " + this->place.region);
    return true;
}

std::string upstream::head_for(unsigned status,
                               const std::string& attempt) const
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Said\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Response-Signature: of " + attempt +
           "\r\nX-Instance-Id: " + this->place.name +
           "\r\nKeep-Alive: timeout=1\r\n";
}

std::string upstream::refusal(const std::string& attempt, unsigned status) const
{
    return this->head_for(status, attempt) +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

asio::awaitable<bool> upstream::answer(tcp::socket& to,
                                       const reader_ptr& request)
{
    const relay::request_head& head = request->head();
    const std::string attempt = header_of(head, "X-Attempt-Id");
    if (request->body() !=
        text_for(attempt, target_number(head.target, "sent")))
        this->records.violation("the body of " + attempt + " was changed");
    co_await pause(this->context, work_time);
    if (head.target.starts_with("/stream/")) {
        const std::string last = header_of(head, "Last-Event-Id");
        co_return co_await this->stream(
            to, attempt, std::strtoull(last.c_str(), nullptr, 10));
    }
    const std::string body =
        text_for(attempt, target_number(head.target, "size"));
    std::string text = this->head_for(200, attempt) +
                       "Content-Type: text/plain\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
    if (this->state == upstream_state::answering_twice)
        text += text;
    if (this->state == upstream_state::adding_bytes)
        text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    co_return co_await write(to, text);
}

asio::awaitable<bool> upstream::stream(tcp::socket& to,
                                       const std::string& attempt,
                                       std::uint64_t after)
{
    std::string text = this->head_for(200, attempt) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t number = after + 1; number <= stream_events; ++number) {
        text += chunk(event_for(attempt, number));
        if (!co_await write(to, text))
            co_return false;
        text.clear();
        co_await pause(this->context, event_gap);
    }
    text += "0\r\n\r\n";
    if (this->state == upstream_state::adding_bytes)
        text += "data: extra\n\n";
    co_return co_await write(to, text);
}

} // namespace soak
