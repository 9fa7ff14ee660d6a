// Time limits of answers.
#include <greengagedrum/relay/http_get.hpp>

#include <doctest/doctest.h>

#include <memory>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t pieces = 8;
constexpr const char* piece = "0123456789";

// A server that sends an answer of 80 bytes in pieces, with a pause before
// each.
class slow_server
{
public:
    explicit slow_server(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          timer(context), peer(context)
    {
        this->acceptor.async_accept(this->peer, [this](error_code fault) {
            if (!fault)
                this->send("HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n");
        });
    }

    base::ip_endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    base::duration pause = 60ms;
    std::size_t pieces_sent = pieces; // before the server falls silent

private:
    void send(const std::string& text)
    {
        asio::write(this->peer, asio::buffer(text));
        if (this->sent == this->pieces_sent)
            return;
        this->sent += 1;
        this->timer.expires_after(this->pause);
        this->timer.async_wait([this](error_code fault) {
            if (!fault)
                this->send(piece);
        });
    }

    tcp::acceptor acceptor;
    asio::steady_timer timer;
    tcp::socket peer;
    std::size_t sent = 0;
};

struct slow_answer_fixture {
    asio::io_context context;
    slow_server server{this->context};
    std::shared_ptr<http_get> client =
        std::make_shared<http_get>(this->context);
    std::optional<tl::expected<fetched, std::string>> got;

    void ask(const answer_limits& limits)
    {
        this->client->ask(this->server.address(),
                          "/",
                          limits,
                          [this](tl::expected<fetched, std::string> answer) {
                              this->got = std::move(answer);
                          });
        for (int tries = 0; tries < 500 && !this->got; ++tries)
            this->context.run_for(10ms);
        this->client->stop();
        REQUIRE(this->got);
    }
};

} // namespace

// A large answer over a slow link would be given up and asked for again.
TEST_CASE_FIXTURE(slow_answer_fixture,
                  "answer_that_goes_on_arriving_outlasts_the_time_of_silence")
{
    this->ask({400ms, 5s});
    REQUIRE(*this->got);
    CHECK((*this->got)->body.size() == 80);
}

TEST_CASE_FIXTURE(slow_answer_fixture, "answer_that_stops_midway_is_given_up")
{
    this->server.pieces_sent = 3;
    this->ask({400ms, 5s});
    REQUIRE_FALSE(*this->got);
    CHECK(this->got->error() == "no whole answer in time, 30 bytes received");
}

// A sender of one byte at a time would hold the only question under way.
TEST_CASE_FIXTURE(slow_answer_fixture,
                  "answer_beyond_its_total_time_is_given_up")
{
    this->ask({400ms, 150ms});
    REQUIRE_FALSE(*this->got);
}

} // namespace greengagedrum::relay
