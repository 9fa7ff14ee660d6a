// Servers that stop in the middle of a response's head.
#include <greengagedrum/relay/http_get.hpp>
#include <greengagedrum/relay/upstream_call.hpp>

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string_view>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

// Heads of responses, one after an interim response.
constexpr std::array<std::string_view, 5> heads = {
    "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n"};

enum class connection_end : std::uint8_t { closed, reset };

// Accepts one connection after the other, writes the same bytes on each and
// ends it.
class cutting_server
{
public:
    explicit cutting_server(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          peer(context)
    {
        this->accept();
    }

    base::ip_endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::string_view bytes;
    connection_end end = connection_end::closed;

private:
    void accept()
    {
        this->acceptor.async_accept(this->peer, [this](error_code fault) {
            if (fault)
                return;
            this->peer.async_read_some(
                asio::buffer(this->request),
                [this](error_code, std::size_t) { this->answer(); });
        });
    }

    void answer()
    {
        asio::write(this->peer, asio::buffer(this->bytes));
        if (this->end == connection_end::reset)
            this->peer.set_option(asio::socket_base::linger(true, 0));
        this->peer.close();
        this->accept();
    }

    tcp::acceptor acceptor;
    tcp::socket peer;
    std::array<char, 1024> request{};
};

struct cut_head_fixture {
    asio::io_context context;
    cutting_server server{this->context};

    // How a call ends that meets these bytes.
    struct call_end {
        bool head = false;
        bool done = false;
        bool broken = false;
    };

    call_end call(bool on_kept_connection)
    {
        call_end out;
        upstream_events events;
        events.connected = [] {};
        events.not_connected = [](const error_code&) {};
        events.written = [] {};
        events.head = [&out] { out.head = true; };
        events.body = [](std::string_view) {};
        events.done = [&out] { out.done = true; };
        events.broken = [&out](call_fault, const std::string&) {
            out.broken = true;
        };
        const outgoing_request request{"GET / HTTP/1.1\r\n\r\n", nullptr};
        const auto tested = std::make_shared<upstream_call>(
            this->context, std::move(events), false);
        if (on_kept_connection) {
            tcp::socket kept(this->context);
            kept.connect(tcp_endpoint(this->server.address()));
            tested->start_on(std::move(kept), request);
        } else {
            tested->start(this->server.address(), request);
        }
        this->run_until([&out] { return out.done || out.broken; });
        return out;
    }

    template <class Predicate>
    void run_until(Predicate ended)
    {
        this->context.restart();
        for (int tries = 0; tries < 500 && !ended(); ++tries)
            this->context.run_for(2ms);
    }
};

} // namespace

// Failure guarded against: the end of the connection counts as the end of the
// head, and the caller gets a success without a body.
TEST_CASE("head_cut_anywhere_is_no_answer")
{
    for (const std::string_view head : heads) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            CAPTURE(head.substr(0, size));
            answer_reader reader(false);
            std::string inbox(head.substr(0, size));
            const auto taken = reader.feed(inbox);
            REQUIRE(taken);
            CHECK_FALSE(reader.done());
            CHECK_FALSE(reader.head_done());
            CHECK_FALSE(reader.finish_at_close());
        }
    }
}

TEST_CASE_FIXTURE(cut_head_fixture, "call_with_head_cut_anywhere_is_broken_off")
{
    for (const std::string_view head : heads) {
        for (std::size_t size = 0; size < head.size(); size += 3) {
            this->server.bytes = head.substr(0, size);
            this->server.end =
                size % 2 == 0 ? connection_end::closed : connection_end::reset;
            CAPTURE(this->server.bytes);
            const call_end ended = this->call(size % 4 < 2);
            CHECK(ended.broken);
            CHECK_FALSE(ended.head);
            CHECK_FALSE(ended.done);
        }
    }
}

TEST_CASE_FIXTURE(cut_head_fixture, "fetch_with_head_cut_anywhere_fails")
{
    for (const std::string_view head : heads) {
        for (std::size_t size = 0; size < head.size(); size += 5) {
            this->server.bytes = head.substr(0, size);
            CAPTURE(this->server.bytes);
            const auto client = std::make_shared<http_get>(this->context);
            std::optional<tl::expected<fetched, std::string>> got;
            client->ask(this->server.address(),
                        "/",
                        {1s, 2s},
                        [&got](tl::expected<fetched, std::string> answer) {
                            got = std::move(answer);
                        });
            this->run_until([&got] { return got.has_value(); });
            client->stop();
            REQUIRE(got);
            CHECK_FALSE(got->has_value());
        }
    }
}

} // namespace greengagedrum::relay
