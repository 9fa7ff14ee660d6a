// The usage of a workspace's limit that an entry sends to its peers, request by
// request.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/gossip/message.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t request_cost = 200; // tokens

// A fake peer: the same port at another loopback address.
class fake_peer
{
public:
    fake_peer() : socket(this->context)
    {
        this->socket.open(relay::udp::v4());
        this->socket.bind({relay::asio::ip::make_address("127.0.0.2"), 0});
        this->socket.non_blocking(true);
    }

    std::uint16_t port() const { return this->socket.local_endpoint().port(); }

    // Waits up to three seconds for a message with a matching usage.
    bool receives_use(
        const std::function<bool(const quota::workspace_usage&)>& matches)
    {
        for (int tries = 0; tries < 300; ++tries) {
            relay::error_code fault;
            const std::size_t count = this->socket.receive(
                relay::asio::buffer(this->buffer), 0, fault);
            if (fault) {
                std::this_thread::sleep_for(10ms);
                continue;
            }
            const auto received =
                gossip::decode_message({this->buffer.data(), count});
            REQUIRE(received);
            for (const quota::workspace_usage& one :
                 received->workspace_usage) {
                if (matches(one))
                    return true;
            }
        }
        return false;
    }

private:
    relay::asio::io_context context;
    relay::udp::socket socket;
    alignas(std::uint64_t) std::array<char, 65'536> buffer{};
};

struct limit_fixture : fake_peer, entry_fixture {
    limit_fixture() : entry_fixture({100'000, this->port(), {{"127.0.0.2", 1}}})
    {
    }
};

} // namespace

// Peers count the usage that an entry admits. A request counts as waiting until
// it is sent, and as used from then on.
TEST_CASE_FIXTURE(limit_fixture, "request_once_sent_is_reported_as_used")
{
    auto asked = this->client();
    REQUIRE(asked.Get("/again/", headers()));
    CHECK(this->receives_use([](const quota::workspace_usage& one) {
        return one.sent_total == request_cost && one.waiting == 0 &&
               one.sent_in_window == request_cost;
    }));
}

// Callers disconnect while their requests wait for a slot. These requests were
// never sent, so their cost is refunded to the workspace. Otherwise a burst of
// impatient callers would use up its whole limit without any response.
TEST_CASE_FIXTURE(limit_fixture, "request_of_disconnected_caller_is_refunded")
{
    constexpr std::uint64_t slots = 5;
    std::atomic<bool> answer{false};
    this->set_upstream_handler(
        [&answer](const httplib::Request& got, httplib::Response& given) {
            while (!answer)
                std::this_thread::sleep_for(5ms);
            write_signed_answer(got, given, "late");
        });
    std::vector<std::thread> callers;
    for (std::uint64_t count = 0; count < slots; ++count)
        callers.emplace_back([this] {
            auto asked = this->client();
            asked.Get("/again/", headers());
        });
    const bool full = this->receives_use([](const quota::workspace_usage& one) {
        return one.sent_total == slots * request_cost;
    });
    {
        relay::asio::io_context context;
        relay::tcp::socket leaver(context);
        leaver.connect(
            relay::tcp_endpoint(this->entry_under_test->caller_address()));
        const std::string text =
            "GET /again/ HTTP/1.1\r\nHost: hall.example\r\n"
            "X-Attempt-Id: a-1\r\nApi-Key: key-1\r\n\r\n";
        relay::asio::write(leaver, relay::asio::buffer(text));
        CHECK(this->receives_use([](const quota::workspace_usage& one) {
            return one.waiting == request_cost;
        }));
    }
    CHECK(this->receives_use([](const quota::workspace_usage& one) {
        return one.waiting == 0 && one.sent_total == slots * request_cost;
    }));
    answer = true;
    for (std::thread& one : callers)
        one.join();
    CHECK(full);
}

} // namespace greengagedrum::entry
