// A caller's connection where the memory of the process is limited.
#include <greengagedrum/relay/caller_connection.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

const std::string head_start = "POST / HTTP/1.1\r\nHost: hall.example\r\n";

struct connection_fixture {
    asio::io_context context;
    memory::levels levels{
        1'000'000, 600'000, 750'000, 900'000, 100'000, 400'000, 1'000};
    std::shared_ptr<memory::account> account =
        std::make_shared<memory::account>(levels);
    memory::reservation filler{account, memory::kind::gossip};
    base::instant now{1h};
    std::size_t requests = 0;
    std::size_t rejections = 0;
    bool left = false;
    bool closed = false;
    caller_events events;
    caller_ptr connection;
    tcp::socket caller{context};

    connection_fixture()
    {
        this->events.request = [this](const caller_ptr&, base::duration) {
            this->requests += 1;
        };
        this->events.left = [this](const caller_ptr&) { this->left = true; };
        this->events.refused = [](const read_fault&) {};
        this->events.closed = [this](const caller_ptr&) {
            this->closed = true;
        };
        this->events.clock = [this] { return this->now; };
        this->events.memory = this->account;
        this->events.classify = [](const request_head&) {
            return body_class{base::workspace_id(7), 0, 600ms};
        };
        this->events.rejected =
            [this](const caller_ptr&, const own_answer&, std::uint64_t) {
                this->rejections += 1;
            };
        tcp::acceptor acceptor(
            this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        this->caller.connect(acceptor.local_endpoint());
        this->connection = std::make_shared<caller_connection>(
            acceptor.accept(), this->events, caller_bounds());
        this->connection->start();
    }

    void send(const std::string& bytes)
    {
        asio::write(this->caller, asio::buffer(bytes));
        this->run();
    }
    void run()
    {
        this->context.restart();
        this->context.run_for(20ms);
    }
    std::string received()
    {
        std::string out(this->caller.available(), '\0');
        if (!out.empty())
            out.resize(this->caller.read_some(asio::buffer(out)));
        return out;
    }
};

} // namespace

// A caller that waits for leave must not be asked for a body without room.
TEST_CASE_FIXTURE(connection_fixture,
                  "expected_continue_is_sent_once_there_is_room_for_the_body")
{
    this->filler.resize(this->levels.stop_reading - 10'000);
    this->send(head_start +
               "Expect: 100-continue\r\nContent-Length: 50000\r\n\r\n");
    CHECK(this->connection->waiting_since());
    this->connection->retry_body();
    this->run();
    CHECK(this->received().empty());
    this->filler.resize(0);
    this->connection->retry_body();
    this->run();
    CHECK(this->received() == "HTTP/1.1 100 Continue\r\n\r\n");
    this->send(std::string(50'000, 'b'));
    this->run();
    CHECK(this->requests == 1);
    CHECK(this->connection->body().size() == 50'000);
    CHECK(this->account->held(base::workspace_id(7)) == 50'000);
}

// Guards against a rejection that tells a caller to come back when more than a
// third of its time is over.
TEST_CASE_FIXTURE(connection_fixture,
                  "body_without_room_retry_after_within_a_third_of_deadline")
{
    this->send(head_start + "Content-Length: 500000\r\n\r\n");
    CHECK(this->rejections == 1);
    CHECK(this->received().find("Retry-After: 0.20\r\n") != std::string::npos);
}

TEST_CASE_FIXTURE(connection_fixture,
                  "caller_that_leaves_while_its_body_waits_is_noticed")
{
    this->filler.resize(this->levels.stop_reading);
    this->send(head_start + "Content-Length: 50000\r\n\r\n" +
               std::string(50'000, 'b'));
    this->connection->check_stopped();
    CHECK_FALSE(this->closed);
    CHECK(this->account->held(memory::kind::connections) > 30'000);
    this->caller.close();
    this->run();
    this->connection->check_stopped();
    CHECK(this->closed);
    CHECK(this->requests == 0);
}

// Requests sent ahead fill the buffer, so that nothing is read any more.
TEST_CASE_FIXTURE(connection_fixture,
                  "caller_that_leaves_behind_a_full_buffer_is_noticed")
{
    this->send(head_start + "Content-Length: 0\r\n\r\n" +
               std::string(60'000, 'a'));
    CHECK(this->requests == 1);
    this->caller.close();
    this->run();
    this->connection->check_stopped();
    CHECK(this->left);
    CHECK(this->closed);
}

TEST_CASE_FIXTURE(connection_fixture,
                  "small_body_is_read_while_large_ones_wait")
{
    this->filler.resize(this->levels.reject);
    this->send(head_start + "Content-Length: 900\r\n\r\n" +
               std::string(900, 'b'));
    CHECK(this->requests == 1);
}

// Its length isn't known ahead, so it takes its room in steps.
TEST_CASE_FIXTURE(connection_fixture,
                  "body_in_chunks_beyond_the_share_is_rejected")
{
    this->send(head_start + "Transfer-Encoding: chunked\r\n\r\n");
    for (int count = 0; count < 10 && this->rejections == 0; ++count)
        this->send("4e20\r\n" + std::string(20'000, 'b') + "\r\n");
    CHECK(this->requests == 0);
    CHECK(this->rejections == 1);
    CHECK(this->received().starts_with("HTTP/1.1 503"));
    CHECK(this->account->held(memory::kind::request_bodies) == 0);
}

TEST_CASE_FIXTURE(connection_fixture, "response_is_counted_until_it_is_taken")
{
    this->send(head_start + "Content-Length: 0\r\n\r\n");
    const std::size_t size = 16U << 20U; // more than the kernel holds
    this->connection->answer("HTTP/1.1 200 OK\r\n", std::string(size, 'x'));
    this->now += 1s;
    this->run();
    CHECK(this->account->held(memory::kind::responses) >= size);
    this->now += 3s;
    CHECK(this->connection->unread(this->now).stalled == 3s);
    CHECK(this->connection->unread(this->now).bytes < size);
    std::size_t taken = 0;
    for (int tries = 0; tries < 20'000 && taken < size; ++tries) {
        taken += this->received().size();
        this->context.restart();
        this->context.poll();
    }
    this->run();
    CHECK(this->account->held(memory::kind::responses) == 0);
}

} // namespace greengagedrum::relay
