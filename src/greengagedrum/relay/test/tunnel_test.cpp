// Connections to upstreams that are made through a peer.
#include <greengagedrum/relay/tunnel_client.hpp>
#include <greengagedrum/relay/tunnel_server.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <vector>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_id known_upstream("i-1");
const std::string loopback = "127.0.0.1";

tcp::endpoint any_port()
{
    return {asio::ip::address_v4::loopback(), 0};
}

base::ip_endpoint free_address(asio::io_context& context)
{
    const tcp::acceptor probe(context, any_port());
    return {loopback, probe.local_endpoint().port()};
}

struct tunnel_fixture {
    asio::io_context context;
    tcp::acceptor upstream_acceptor{this->context, any_port()};
    base::ip_endpoint address = free_address(this->context);
    bool peer_known = true;
    std::vector<tunnel_outcome> outcomes;
    std::optional<tunnel_server> server{
        std::in_place,
        this->context,
        this->address,
        16,
        tunnel_server::owner{
            [this](const std::string&) { return this->peer_known; },
            [this](base::upstream_id id) -> std::optional<base::ip_endpoint> {
                if (id != known_upstream)
                    return std::nullopt;
                return base::ip_endpoint{
                    loopback, this->upstream_acceptor.local_endpoint().port()};
            },
            [this](const tunnel_outcome& one) {
                this->outcomes.push_back(one);
            }}};
    std::optional<tcp::socket> peer; // the asking end of the tunnel
    std::optional<tunnel_failure> failure;
    tcp::socket upstream{this->context};

    void run() { this->context.run_for(200ms); }

    void ask(base::upstream_id id = known_upstream)
    {
        const auto client = std::make_shared<tunnel_client>(
            this->context, [this](tunnel_client::result result) {
                if (auto* socket = std::get_if<tcp::socket>(&result))
                    this->peer = std::move(*socket);
                else
                    this->failure = std::get<tunnel_failure>(result);
            });
        client->start(this->address, loopback, {id, "request-1", "entry-1"});
        this->context.run_for(700ms);
    }

    void connect()
    {
        this->upstream_acceptor.async_accept(this->upstream, [](error_code) {});
        this->ask();
        REQUIRE(this->peer);
        REQUIRE(this->upstream.is_open());
    }

    // Reads until the connection ends.
    static std::string read_all(tcp::socket& from, error_code& end)
    {
        std::string out;
        std::array<char, 4096> piece{};
        end = {};
        while (!end)
            out.append(piece.data(), from.read_some(asio::buffer(piece), end));
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(tunnel_fixture, "bytes_pass_both_ways_until_the_close")
{
    this->connect();
    asio::write(*this->peer, asio::buffer(std::string("question")));
    this->run();
    std::array<char, 8> asked{};
    CHECK(this->upstream.read_some(asio::buffer(asked)) == 8);
    const std::string answer(200'000, 'a');
    asio::async_write(
        this->upstream, asio::buffer(answer), [this](error_code, std::size_t) {
            error_code ignored;
            this->upstream.close(ignored);
        });
    std::string received;
    this->peer->non_blocking(true);
    error_code end;
    for (int tries = 0; tries < 1000 && end != asio::error::eof; ++tries) {
        this->context.run_for(5ms);
        std::array<char, 16'384> piece{};
        end = {};
        while (!end)
            received.append(piece.data(),
                            this->peer->read_some(asio::buffer(piece), end));
    }
    CHECK(end == asio::error::eof);
    CHECK(received == answer);
}

// Where nothing else frames an answer, an orderly close would end it.
TEST_CASE_FIXTURE(tunnel_fixture, "reset_of_the_upstream_is_passed_as_a_reset")
{
    this->connect();
    asio::write(this->upstream, asio::buffer(std::string("part")));
    this->run();
    this->upstream.set_option(asio::socket_base::linger(true, 0));
    this->upstream.close();
    this->run();
    error_code end;
    read_all(*this->peer, end);
    CHECK(end == asio::error::connection_reset);
}

TEST_CASE_FIXTURE(tunnel_fixture, "close_of_the_peer_ends_the_work_upstream")
{
    this->connect();
    this->peer->close();
    this->run();
    error_code end;
    CHECK(read_all(this->upstream, end).empty());
    CHECK(this->server->active() == 0);
}

// A close would end an answer that nothing else frames.
TEST_CASE_FIXTURE(tunnel_fixture, "server_that_ends_resets_its_tunnels")
{
    this->connect();
    asio::write(this->upstream, asio::buffer(std::string("part")));
    this->run();
    this->server.reset();
    this->run();
    error_code end;
    read_all(*this->peer, end);
    CHECK(end == asio::error::connection_reset);
}

// The peer has lost power.
TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_ends_though_the_peer_never_closes")
{
    this->connect();
    this->upstream.close();
    this->run();
    CHECK(this->server->active() == 1);
    this->context.run_for(3s);
    CHECK(this->server->active() == 0);
}

TEST_CASE_FIXTURE(tunnel_fixture, "upstream_that_refuses_is_reported")
{
    this->upstream_acceptor.close();
    const auto port = free_address(this->context).port;
    this->upstream_acceptor = tcp::acceptor(this->context);
    this->upstream_acceptor.open(tcp::v4());
    this->upstream_acceptor.bind({asio::ip::address_v4::loopback(), port});
    this->ask();
    CHECK(this->failure == tunnel_failure::upstream_unreachable);
}

TEST_CASE_FIXTURE(tunnel_fixture,
                  "upstream_that_the_peer_does_not_use_is_rejected")
{
    this->ask(base::upstream_id("i-2"));
    CHECK(this->failure == tunnel_failure::rejected);
}

TEST_CASE_FIXTURE(tunnel_fixture,
                  "connection_that_is_not_a_peers_gets_no_reply")
{
    this->peer_known = false;
    this->ask();
    CHECK(this->failure == tunnel_failure::peer_unreachable);
    CHECK(this->outcomes.empty());
}

TEST_CASE_FIXTURE(tunnel_fixture, "bytes_that_are_no_request_get_no_reply")
{
    tcp::socket stranger(this->context);
    stranger.connect(tcp_endpoint(this->address));
    asio::write(stranger,
                asio::buffer(std::string("POST /tunnel HTTP/1.1\r\n\r\n")));
    this->run();
    error_code end;
    CHECK(read_all(stranger, end).empty());
    CHECK(this->server->active() == 0);
}

TEST_CASE("tunnel_frames_are_read_as_written")
{
    const tunnel_request sent{known_upstream, "request-1", "entry-1"};
    const std::string frame = encode(sent);
    CHECK(tunnel_frame_size(frame) == frame.size());
    CHECK_FALSE(tunnel_frame_size(frame.substr(0, 3)));
    const auto read = decode_tunnel_request(frame);
    REQUIRE(read);
    CHECK(read->upstream == sent.upstream);
    CHECK(read->request == sent.request);
    CHECK(read->instance == sent.instance);
    CHECK_FALSE(decode_tunnel_request(frame.substr(0, frame.size() - 4)));
    for (const auto verdict : {tunnel_verdict::rejected,
                               tunnel_verdict::unreachable,
                               tunnel_verdict::connected})
        CHECK(decode_tunnel_verdict(encode(verdict)) == verdict);
}

} // namespace greengagedrum::relay
