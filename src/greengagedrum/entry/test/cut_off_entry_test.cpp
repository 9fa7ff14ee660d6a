// An entry that can't connect to any upstream, while a peer can.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
namespace asio = relay::asio;
using relay::tcp;

// Ports that refuse connections as long as the object lives.
class refusing_ports
{
public:
    explicit refusing_ports(std::size_t count)
    {
        for (std::size_t each = 0; each < count; ++each)
            this->sockets.emplace_back(
                this->context,
                tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    }

    std::vector<int> numbers() const
    {
        std::vector<int> out;
        for (const tcp::socket& one : this->sockets)
            out.push_back(one.local_endpoint().port());
        return out;
    }

private:
    asio::io_context context;
    std::vector<tcp::socket> sockets; // bound and not listening
};

std::uint16_t free_peer_port()
{
    asio::io_context context;
    const tcp::acceptor probe(
        context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

std::string plain_answer(const std::string& /* head */)
{
    return "Content-Length: 2\r\n\r\nok";
}

// The same upstreams at both entries; only the second one reaches them.
struct cut_off_fixture {
    static constexpr std::size_t upstream_count = 3;

    explicit cut_off_fixture(const raw_upstream::responder& respond)
        : upstream([respond](const std::string& head) {
              return head.starts_with(first_request) ? plain_answer(head)
                                                     : respond(head);
          }),
          cut_off(options_of("127.0.0.2")),
          reaching(std::make_unique<entry_fixture>(options_of("127.0.0.3")))
    {
        this->wait_for_peer();
    }

    // Until the first entry has heard from the second.
    void wait_for_peer()
    {
        for (int tries = 0; tries < 100; ++tries) {
            const auto response = this->cut_off.client().Get(
                "/again/first", entry_fixture::headers());
            if (response && response->status == 200) {
                this->first_requests = this->upstream.request_count();
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        FAIL("no request got through the peer in time");
    }

    // Since the peer has been found.
    int request_count() const
    {
        return this->upstream.request_count() - this->first_requests;
    }

    fixture_options options_of(const std::string& ip) const
    {
        fixture_options out;
        out.ip = ip;
        out.peer_port = this->peer_port;
        out.seeds = {{"127.0.0.2", 1}, {"127.0.0.3", 1}};
        out.upstream_ports =
            ip == "127.0.0.2"
                ? this->closed.numbers()
                : std::vector<int>(upstream_count, this->upstream.port());
        return out;
    }

    static constexpr std::string_view first_request = "GET /again/first";

    int first_requests = 0;
    refusing_ports closed{upstream_count};
    std::uint16_t peer_port = free_peer_port();
    raw_upstream upstream;
    entry_fixture cut_off;
    std::unique_ptr<entry_fixture> reaching;
};

} // namespace

TEST_CASE("request_at_an_entry_cut_off_from_upstreams_is_served_by_a_peer")
{
    const cut_off_fixture test(plain_answer);
    for (int count = 0; count < 5; ++count) {
        const auto response = test.cut_off.client().Post(
            "/once/", entry_fixture::headers(), "body", "text/plain");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "ok");
    }
    CHECK(test.request_count() == 5);
}

TEST_CASE("stream_through_a_peer_is_whole_only_after_an_event")
{
    std::atomic<bool> whole{true};
    const cut_off_fixture test([&](const std::string&) {
        return std::string("Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: 7\n\n") +
               (whole ? "" : "id: 2\nda");
    });
    const auto ask = [&] {
        return test.cut_off.client().Post(
            "/stream/", entry_fixture::headers(), "", "text/plain");
    };
    const auto response = ask();
    REQUIRE(response);
    CHECK(response->body == "id: 1\ndata: 7\n\n");
    whole = false;
    CHECK_FALSE(ask());
}

// Failure guarded against: an upstream behind a peer stops in the middle of its
// head, and the caller gets a success without a body.
TEST_CASE("head_cut_behind_a_peer_is_no_answer")
{
    const std::string head = "Content-Length: 2\r\nX-A: 1\r\n";
    std::atomic<std::size_t> size{0};
    const cut_off_fixture test(
        [&](const std::string& /* request */) { return head.substr(0, size); });
    for (; size <= head.size(); size += 3) {
        CAPTURE(size);
        for (const char* target : {"/once/", "/stream/"}) {
            const auto response = test.cut_off.client().Post(
                target, entry_fixture::headers(), "", "text/plain");
            REQUIRE(response);
            CHECK(response->status >= 500);
        }
    }
    CHECK(test.request_count() > 0);
}

// The request may have run: it is not sent a second way.
TEST_CASE("request_whose_peer_is_lost_is_not_sent_again")
{
    std::atomic<bool> running{false};
    cut_off_fixture test([&](const std::string&) {
        running = true;
        // Longer than the peer waits for requests in progress.
        std::this_thread::sleep_for(1500ms);
        return plain_answer({});
    });
    std::thread loss([&] {
        while (!running)
            std::this_thread::sleep_for(1ms);
        test.reaching.reset();
    });
    const auto response = test.cut_off.client().Post(
        "/once/", entry_fixture::headers(), "body", "text/plain");
    loss.join();
    REQUIRE(response);
    CHECK(response->status == 502);
    CHECK(test.request_count() == 1);
}

// The stream is cut as the process that carries it exits.
TEST_CASE("stream_through_a_peer_that_stops_moves_to_another_peer")
{
    constexpr int last = 26; // 2.6 s; the route allows 3 s
    std::atomic<int> streams{0};
    fake_http_server upstream;
    upstream.server.Get(
        ".*", [](const httplib::Request& asked, httplib::Response& given) {
            entry_fixture::write_signed_answer(asked, given, "ok");
        });
    upstream.server.Post(
        ".*", [&](const httplib::Request& asked, httplib::Response& given) {
            streams += 1;
            const std::string after = asked.get_header_value("Last-Event-ID");
            given.set_header("X-Response-Signature", "signed");
            given.set_header("X-Attempt-Id",
                             asked.get_header_value("X-Attempt-Id"));
            given.set_chunked_content_provider(
                "text/event-stream",
                [next = after.empty() ? 1 : std::stoi(after) + 1](
                    std::size_t, httplib::DataSink& to) mutable {
                    const std::string id = std::to_string(next);
                    const std::string piece = "id: " + id + "\ndata: x\n\n";
                    if (!to.write(piece.data(), piece.size()))
                        return false;
                    std::this_thread::sleep_for(100ms);
                    next += 1;
                    if (next > last)
                        to.done();
                    return true;
                });
        });
    upstream.start();
    {
        const refusing_ports closed(3);
        fixture_options options;
        options.peer_port = free_peer_port();
        options.seeds = {{"127.0.0.2", 1}, {"127.0.0.3", 1}, {"127.0.0.4", 1}};
        options.upstream_ports = closed.numbers();
        options.ip = "127.0.0.2";
        const entry_fixture cut_off(options);
        options.upstream_ports = std::vector<int>(3, upstream.port);
        options.ip = "127.0.0.3";
        auto carrier = std::make_unique<entry_fixture>(options);
        int answered = 0;
        for (int tries = 0; tries < 100 && answered < 12; ++tries) {
            const auto response =
                cut_off.client().Get("/again/", entry_fixture::headers());
            answered += response && response->status == 200 ? 1 : 0;
            if (answered == 0)
                std::this_thread::sleep_for(100ms);
        }
        REQUIRE(answered == 12);
        std::string body;
        std::thread caller([&] {
            auto headers = entry_fixture::headers();
            headers.erase("X-Deadline-Ms");
            headers.emplace("X-Deadline-Ms", "3000");
            const auto response =
                cut_off.client().Post("/stream/", headers, "", "text/plain");
            if (response)
                body = response->body;
        });
        while (streams == 0)
            std::this_thread::sleep_for(1ms);
        options.ip = "127.0.0.4";
        const entry_fixture other(options);
        std::this_thread::sleep_for(400ms);
        carrier.reset();
        caller.join();
        CHECK(streams == 2);
        CHECK(std::count(body.begin(), body.end(), 'x') == last);
        CHECK(body.find("id: 26\n") != std::string::npos);
    }
    upstream.stop();
}

} // namespace greengagedrum::entry
