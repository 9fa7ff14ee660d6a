#include "upstream.hpp"

#include <functional>
#include <sstream>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
namespace relay = greengagedrum::relay;

// One request in `long_every` runs long, so that faults meet requests that run.
constexpr auto work_time = 20ms;
constexpr auto long_work_time = 400ms;
constexpr std::size_t long_every = 4;
constexpr auto event_gap = 15ms;
constexpr auto ignored_for = 4s;
constexpr auto idle_time = 1500ms;
constexpr auto short_idle_time = 30ms;
constexpr relay::read_bounds request_bounds{16'384, 8U << 20U};

std::string header_of(const relay::request_head& head, std::string_view name)
{
    return std::string(relay::find_header(head.headers, name).value_or(""));
}

} // namespace

upstream::upstream(asio::io_context& context,
                   upstream_place place,
                   ledger& ledger)
    : context(context), place(std::move(place)), records(ledger)
{
    this->accept();
}

void upstream::accept()
{
    listen(this->context,
           this->place.address,
           this->acceptor,
           [this](tcp::socket next) {
               auto one = std::make_shared<tcp::socket>(std::move(next));
               std::erase_if(this->connections,
                             [](const auto& each) { return each.expired(); });
               this->connections.push_back(one);
               start(this->context, this->serve(std::move(one)));
           });
}

void upstream::set(upstream_state wanted)
{
    const upstream_state before = std::exchange(this->state, wanted);
    if (this->is_crashed)
        return;
    if (wanted == upstream_state::crashed)
        return this->close();
    if (before == upstream_state::crashed)
        this->accept();
}

void upstream::crash()
{
    this->is_crashed = true;
    this->close();
}

void upstream::come_back(std::string name)
{
    this->is_crashed = false;
    this->former_names.insert(std::exchange(this->place.name, std::move(name)));
    if (this->state != upstream_state::crashed)
        this->accept();
}

void upstream::close()
{
    this->acceptor->close();
    for (const auto& one : std::exchange(this->connections, {})) {
        if (const connection_ptr open = one.lock())
            abort(*open);
    }
}

asio::awaitable<bool> upstream::read_until(tcp::socket& from,
                                           std::string& inbox,
                                           reader& into_,
                                           bool whole)
{
    std::array<char, relay::read_bytes> arrived{};
    while (true) {
        const auto taken = into_.feed(inbox);
        if (!taken) {
            this->records.violation(this->place.name +
                                    " can't read: " + taken.error().why);
            co_return false;
        }
        inbox.erase(0, *taken);
        if (into_.done() || (into_.head_done() && !whole))
            co_return true;
        error_code fault;
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(arrived), into(fault));
        if (fault)
            co_return false;
        inbox.append(arrived.data(), count);
    }
}

task upstream::serve(connection_ptr connection)
{
    std::string inbox;
    while (true) {
        reader request(request_bounds);
        asio::steady_timer idle(this->context,
                                this->state == upstream_state::closing_idle
                                    ? short_idle_time
                                    : idle_time);
        idle.async_wait([connection](error_code fault) {
            if (!fault)
                connection->close(fault);
        });
        if (!co_await this->read_until(*connection, inbox, request, false))
            co_return;
        idle.cancel();
        const std::string refused = this->refusal(request.head());
        if (this->hooks.received)
            this->hooks.received(request.head());
        if (refused.empty())
            this->begin(request.head());
        if (this->state == upstream_state::ignoring_bodies) {
            co_await pause(this->context, ignored_for);
            co_return abort(*connection);
        }
        if (!co_await this->read_until(*connection, inbox, request, true))
            co_return;
        const std::string not_run =
            this->head_for(refused, header_of(request.head(), "X-Attempt-Id")) +
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        const bool written = refused.empty()
                                 ? co_await this->answer(*connection, request)
                                 : co_await write(*connection, not_run);
        if (!written)
            co_return;
    }
}

std::string upstream::refusal(const relay::request_head& head) const
{
    if (this->state == upstream_state::rejecting)
        return "503";
    if (this->former_names.contains(header_of(head, "X-Target-Instance")))
        return "421";
    return {};
}

void upstream::begin(const relay::request_head& head)
{
    const std::string attempt = header_of(head, "X-Attempt-Id");
    if (header_of(head, "X-Target-Instance") != this->place.name)
        this->records.violation(attempt + " was sent to another upstream");
    this->records.began(attempt);
    if (head.target.starts_with("/east/") && this->place.region != "east")
        this->records.violation(attempt + " ran in " + this->place.region);
    if (head.target.starts_with("/book/") != (this->place.service == bookings))
        this->records.violation(attempt + " ran at a server of " +
                                this->place.service);
}

std::string upstream::head_for(const std::string& status,
                               const std::string& attempt) const
{
    return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Response-Signature: of " + attempt +
           "\r\nX-Instance-Id: " + this->place.name +
           "\r\nKeep-Alive: timeout=1\r\n";
}

asio::awaitable<bool> upstream::answer(tcp::socket& to, const reader& request)
{
    const relay::request_head& head = request.head();
    const std::string attempt = header_of(head, "X-Attempt-Id");
    const body_sizes sizes = body_sizes::of(head.target);
    if (request.body() != text_for(attempt, sizes.sent))
        this->records.violation("the body of " + attempt + " was changed");
    const bool runs_long = std::hash<std::string>()(attempt) % long_every == 0;
    co_await pause(this->context, runs_long ? long_work_time : work_time);
    if (!to.is_open() || (this->hooks.crashes && this->hooks.crashes(head)))
        co_return false;
    if (head.target.starts_with("/stream/")) {
        const std::string last = "0" + header_of(head, "Last-Event-Id");
        co_return co_await this->stream(to, attempt, std::stoull(last));
    }
    std::string text = this->head_for("200", attempt) +
                       "Content-Length: " + std::to_string(sizes.size) +
                       "\r\n\r\n" + text_for(attempt, sizes.size);
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
    std::string text = this->head_for("200", attempt) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t number = after + 1; number <= stream_events; ++number) {
        const std::string event = event_for(attempt, number);
        std::ostringstream size;
        size << std::hex << event.size();
        text += size.str() + "\r\n" + event + "\r\n";
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
