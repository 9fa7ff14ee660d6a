#include "caller.hpp"

#include <array>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
namespace relay = greengagedrum::relay;

// Longer than any deadline of a request and any fault.
constexpr auto response_timeout = 12s;
constexpr auto not_reading_for = 4s;
constexpr auto leaves_after = 15ms;

std::string request_text(const request_plan& plan)
{
    const std::string prompt_line =
        plan.announced.header.empty()
            ? ""
            : "X-Prompt-Prefix: " + plan.announced.header + "\r\n";
    return "POST " + plan.route + plan.sizes.query() +
           " HTTP/1.1\r\nHost: hall.example\r\nApi-Key: key-1\r\n"
           "X-Deadline-Ms: 3000\r\nConnection: close\r\n" +
           prompt_line + "X-Attempt-Id: " + plan.attempt +
           "\r\nContent-Length: " + std::to_string(plan.sizes.sent) +
           "\r\n\r\n" + text_for(plan.attempt, plan.sizes.sent);
}

std::string expected_body(const request_plan& plan)
{
    if (!plan.stream())
        return text_for(plan.attempt, plan.sizes.size);
    std::string out;
    for (std::uint64_t number = 1; number <= stream_events; ++number)
        out += event_for(plan.attempt, number);
    return out;
}

} // namespace

task caller::send(request_plan plan)
{
    this->records.sent(plan.attempt, plan.repeatable());
    outcome out;
    out.began = clock::now();
    const auto socket = std::make_shared<tcp::socket>(this->context);
    asio::steady_timer limit(this->context, response_timeout);
    limit.async_wait([socket](error_code fault) {
        if (!fault)
            abort(*socket);
    });
    error_code fault;
    co_await socket->async_connect(this->entry, into(fault));
    if (!fault)
        co_await write(*socket, request_text(plan));
    if (plan.behaviour == manner::leaving) {
        co_await pause(this->context, leaves_after);
        co_return abort(*socket);
    }
    if (plan.behaviour == manner::not_reading)
        co_await pause(this->context, not_reading_for);
    response what;
    const bool whole = co_await this->read(*socket, what);
    out.late = !whole && clock::now() - out.began >= response_timeout;
    if (whole) {
        out.status = what.reader.head().status;
        this->check(plan, what);
    }
    this->tell(plan, out);
    // Bytes after the response would be another request's.
    std::array<char, 1> byte{};
    const std::size_t extra =
        co_await socket->async_read_some(asio::buffer(byte), into(fault));
    if (whole && extra > 0)
        this->records.violation(plan.attempt + " got bytes after its response");
}

asio::awaitable<bool> caller::read(tcp::socket& from, response& what) const
{
    std::array<char, relay::read_bytes> arrived{};
    while (!what.reader.done()) {
        error_code fault;
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(arrived), into(fault));
        if (fault)
            co_return fault == asio::error::eof&& what.reader.finish_at_close();
        what.rest.append(arrived.data(), count);
        const auto taken = what.reader.feed(what.rest);
        if (!taken) {
            this->records.violation("unreadable: " + taken.error().why);
            co_return false;
        }
        what.rest.erase(0, *taken);
        what.body += what.reader.take_body();
    }
    co_return true;
}

void caller::check(const request_plan& plan, const response& what) const
{
    const auto fail = [&](const std::string& why) {
        this->records.violation(plan.attempt + " " + plan.route + ": " + why);
    };
    const relay::answer_head& head = what.reader.head();
    this->records.answered(plan.attempt, head.status);
    if (!what.rest.empty())
        fail("bytes after the response");
    const auto attempt = relay::find_header(head.headers, "X-Attempt-Id");
    if (attempt && *attempt != plan.attempt)
        fail("response of another request");
    // Everything that is sent is well formed, allowed and routed.
    if (head.status == 400 || head.status == 401 || head.status == 404 ||
        head.status == 413)
        fail("status " + std::to_string(head.status));
    if (head.status != relay::status_ok)
        return;
    const auto signature =
        relay::find_header(head.headers, "X-Response-Signature");
    if (!attempt || signature.value_or("") != "of " + plan.attempt)
        fail("the upstream's headers are not kept");
    if (what.body != expected_body(plan))
        fail("body of " + std::to_string(what.body.size()) + " bytes differs");
}

} // namespace soak
