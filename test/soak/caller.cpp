#include "caller.hpp"

#include "upstream.hpp"

#include <array>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
namespace relay = greengagedrum::relay;

// Longer than any deadline of a request and any fault.
constexpr auto caller_patience = 12s;
constexpr auto not_reading_for = 4s;
constexpr auto leaves_after = 15ms;
constexpr auto wait_for_extra_bytes = 2s;

std::string request_text(const request_plan& plan)
{
    return "POST " + plan.route + "?sent=" + std::to_string(plan.sent) +
           "&size=" + std::to_string(plan.size) +
           " HTTP/1.1\r\nHost: hall.example\r\nApi-Key: key-1\r\n"
           "X-Deadline-Ms: 3000\r\nConnection: close\r\nX-Attempt-Id: " +
           plan.attempt + "\r\nContent-Length: " + std::to_string(plan.sent) +
           "\r\n\r\n" + text_for(plan.attempt, plan.sent);
}

std::string expected_body(const request_plan& plan)
{
    if (!plan.stream())
        return text_for(plan.attempt, plan.size);
    std::string out;
    for (std::uint64_t number = 1; number <= stream_events; ++number)
        out += event_for(plan.attempt, number);
    return out;
}

// Closes the socket after some time unless destroyed before.
class time_limit
{
public:
    time_limit(asio::io_context& context,
               const socket_ptr& of,
               clock::duration length)
        : timer(context, length), reached(std::make_shared<bool>(false))
    {
        this->timer.async_wait([of, reached = this->reached](error_code fault) {
            if (fault)
                return;
            *reached = true;
            abort(*of);
        });
    }

    bool is_reached() const { return *this->reached; }

private:
    asio::steady_timer timer;
    std::shared_ptr<bool> reached;
};

} // namespace

caller::caller(asio::io_context& context,
               const tcp::endpoint& entry,
               ledger& ledger,
               told tell)
    : context(context), entry(entry), records(ledger), tell(std::move(tell))
{
}

task caller::send(request_plan plan)
{
    const auto socket = std::make_shared<tcp::socket>(this->context);
    const time_limit limit(this->context, socket, caller_patience);
    this->records.sent(plan.attempt, plan.repeatable());
    outcome out;
    out.began = clock::now();
    error_code fault;
    co_await socket->async_connect(this->entry, into(fault));
    const std::string text = request_text(plan);
    if (!fault)
        co_await asio::async_write(*socket, asio::buffer(text), into(fault));
    if (plan.behaviour == manner::leaving) {
        co_await pause(this->context, leaves_after);
        co_return abort(*socket);
    }
    if (plan.behaviour == manner::not_reading)
        co_await pause(this->context, not_reading_for);
    received response;
    const bool whole = co_await this->read(*socket, response);
    out.how = whole                ? ending::whole
              : limit.is_reached() ? ending::late
                                   : ending::cut;
    if (whole) {
        out.status = response.reader.head().status;
        this->check(plan, response);
    }
    this->tell(plan, out);
    // Bytes after the response would be another request's.
    const time_limit extra(this->context, socket, wait_for_extra_bytes);
    std::array<char, 1> byte{};
    std::size_t count = 0;
    if (whole && !response.ended)
        count =
            co_await socket->async_read_some(asio::buffer(byte), into(fault));
    if (count > 0)
        this->records.violation(plan.attempt + " got bytes after its response");
}

asio::awaitable<bool> caller::read(tcp::socket& from, received& into_) const
{
    std::array<char, relay::read_bytes> arrived{};
    while (true) {
        error_code fault;
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(arrived), into(fault));
        into_.ended = bool(fault);
        if (fault == asio::error::eof)
            co_return into_.reader.finish_at_close();
        if (fault)
            co_return false;
        into_.rest.append(arrived.data(), count);
        const auto taken = into_.reader.feed(into_.rest);
        if (!taken) {
            this->records.violation("unreadable response: " +
                                    taken.error().why);
            co_return false;
        }
        into_.rest.erase(0, *taken);
        into_.body += into_.reader.take_body();
        if (into_.reader.done())
            co_return true;
    }
}

void caller::check(const request_plan& plan, received& response) const
{
    const auto fail = [&](const std::string& what) {
        this->records.violation(plan.attempt + " " + plan.route + ": " + what);
    };
    const relay::answer_head& head = response.reader.head();
    this->records.answered(plan.attempt, head.status);
    if (!response.rest.empty())
        fail("bytes after the response");
    const auto attempt = relay::find_header(head.headers, "X-Attempt-Id");
    const bool from_upstream = head.status == relay::status_ok;
    if (attempt ? *attempt != plan.attempt : from_upstream)
        fail("response of another request");
    if (!from_upstream) {
        // Everything that is sent is well formed, allowed and routed.
        if (head.status == 400 || head.status == 401 || head.status == 404 ||
            head.status == 413)
            fail("status " + std::to_string(head.status));
        return;
    }
    const auto signature =
        relay::find_header(head.headers, "X-Response-Signature");
    if (signature.value_or("") != "of " + plan.attempt)
        fail("signature of another response");
    if (response.body != expected_body(plan))
        fail("body of " + std::to_string(response.body.size()) +
             " bytes differs");
}

} // namespace soak
