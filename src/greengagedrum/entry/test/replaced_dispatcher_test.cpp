// A dispatcher's accounting of limits while the dispatcher of another data
// centre is replaced. The test sends the messages of the two others.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/gossip/message.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr gossip::ipv4_address stopping_ip = 0x7f000002; // 127.0.0.2
constexpr gossip::ipv4_address next_ip = 0x7f000003;
constexpr gossip::ipv4_address first_other = 0x0a000001;
constexpr gossip::ipv4_address others = 40;
constexpr double limit_per_second = 12'000;

// Fake peers. They share one socket at another loopback address, with the
// fleet's port.
class fake_peers
{
public:
    fake_peers() : socket(this->context)
    {
        this->socket.open(relay::udp::v4());
        this->socket.bind({relay::asio::ip::make_address("127.0.0.2"), 0});
    }

    std::uint16_t port() const { return this->socket.local_endpoint().port(); }

    gossip::message load_of(std::string instance, gossip::ipv4_address address)
    {
        gossip::message out;
        out.kind = gossip::message_kind::dispatcher_load;
        out.incarnation = {1};
        out.sequence = ++this->sequence;
        out.instance = std::move(instance);
        out.data_centre = "yard";
        out.address = address;
        out.cpu_millicores = 5000;
        out.store_age = 1h;
        for (gossip::ipv4_address one = 0; one < others; ++one)
            out.known_entries.push_back(
                {first_other + one, 10ms, base::data_centre_id("yard"), 1});
        return out;
    }

    void send(const gossip::message& sent)
    {
        this->socket.send_to(
            relay::asio::buffer(gossip::encode(sent)),
            {relay::asio::ip::make_address("127.0.0.1"), this->port()});
    }

private:
    relay::asio::io_context context;
    relay::udp::socket socket;
    std::uint64_t sequence = 0;
};

struct replaced_dispatcher_fixture : fake_peers, entry_fixture {
    replaced_dispatcher_fixture()
        : entry_fixture({limit_per_second, this->port(), {}})
    {
    }
};

} // namespace

// A dispatcher stops as planned, after a third of a workspace's window was
// admitted through it. Another one of its data centre takes over at once, while
// the former one sends for another second, until its own requests have ended.
// Its usage counts once, so the workspace's next request is within the limit
// and is answered.
TEST_CASE_FIXTURE(replaced_dispatcher_fixture,
                  "dispatcher_stopping_with_successor_is_counted_once")
{
    const auto third = static_cast<std::uint32_t>(3 * limit_per_second);
    for (int message = 0; message < 50; ++message) {
        gossip::message stopping = this->load_of("strong", stopping_ip);
        stopping.stopping = message > 5;
        stopping.workspace_usage = {
            {base::workspace_id("gate"), third, 0, third, {}}};
        this->send(stopping);
        this->send(this->load_of("next", next_ip));
        std::this_thread::sleep_for(20ms);
    }
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    REQUIRE(got);
    CHECK(got->status == 200);
}

} // namespace greengagedrum::entry
