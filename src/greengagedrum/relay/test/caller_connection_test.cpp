// The idle end of a caller's connection.
#include <greengagedrum/relay/caller_connection.hpp>

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

const std::string whole_request =
    "POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 0\r\n\r\n";

struct idle_connection_fixture {
    asio::io_context context;
    base::instant now{1h};
    std::size_t requests = 0;
    bool closed = false;
    caller_events events;
    caller_ptr connection;
    caller_bounds bounds;
    tcp::socket caller{context};

    idle_connection_fixture()
    {
        this->events.request = [this](const caller_ptr& from, base::duration) {
            this->requests += 1;
            from->answer(own_answer{503, "test", std::nullopt});
        };
        this->events.left = [](const caller_ptr&) {};
        this->events.refused = [](const read_fault&) {};
        this->events.closed = [this](const caller_ptr&) {
            this->closed = true;
        };
        this->events.clock = [this] { return this->now; };
        tcp::acceptor acceptor(
            this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        this->caller.connect(acceptor.local_endpoint());
        this->connection = std::make_shared<caller_connection>(
            acceptor.accept(), this->events, this->bounds);
        this->connection->start();
    }

    void run()
    {
        this->context.restart();
        this->context.run_for(20ms);
    }
    // Writes a request that the connection has not read yet.
    void write_request()
    {
        asio::write(this->caller, asio::buffer(whole_request));
    }
    // Everything that the caller is sent until the connection closes.
    std::string received()
    {
        std::string out;
        error_code end;
        asio::read(this->caller, asio::dynamic_buffer(out), end);
        return out;
    }
};

} // namespace

// A request that has arrived as its idle connection is closed is dropped.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "idle_time_out_request_in_the_socket_is_answered")
{
    this->write_request();
    this->now += this->bounds.idle_timeout + 2s;
    this->connection->check_time(this->now, this->bounds);
    this->run();
    CHECK(this->requests == 1);
    this->caller.shutdown(tcp::socket::shutdown_send);
    this->run();
    CHECK(this->received().starts_with("HTTP/1.1 503"));
}

// The same where connections are closed since the entry stops.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "idle_close_request_in_the_socket_is_answered")
{
    this->write_request();
    this->connection->close_idle();
    this->run();
    CHECK(this->requests == 1);
}

// A request that crosses with the close is read and dropped, though a caller
// may repeat only what was never read.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "idle_close_later_request_is_not_read")
{
    this->connection->close_idle();
    this->run();
    CHECK(this->closed);
    CHECK(this->received().empty());
    CHECK(this->requests == 0);
}

// A change that shortens the idle time-out closes connections that callers may
// still use by the earlier one.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "idle_time_out_shortened_while_idle_keeps_the_earlier_one")
{
    caller_bounds shorter = this->bounds;
    shorter.idle_timeout = 2s;
    this->now += this->bounds.idle_timeout - 1s;
    this->connection->check_time(this->now, shorter);
    this->write_request();
    this->run();
    CHECK(this->requests == 1);

    this->now += shorter.idle_timeout + 2s;
    this->connection->check_time(this->now, shorter);
    this->run();
    CHECK(this->closed);
}

// A stream's head was sent before the entry was stopped, and its caller sends
// the next request before it learns that the connection closes.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "stream_ended_unannounced_close_next_request_is_answered")
{
    this->events.request = [this](const caller_ptr& from, base::duration) {
        this->requests += 1;
        if (this->requests == 1)
            return from->begin_pieces("HTTP/1.1 200 OK\r\n");
        from->answer(own_answer{503, "test", std::nullopt});
    };
    this->write_request();
    this->run();
    this->connection->set_closing();
    this->write_request();
    this->connection->end_pieces();
    this->run();
    CHECK(this->requests == 2);
    const std::string all = this->received();
    CHECK(all.find("503") != std::string::npos);
    CHECK(all.find("Connection: close") != std::string::npos);
}

// A read has completed as the connection is closed, but its handler has not
// run.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "idle_close_request_read_before_its_handler_is_answered")
{
    this->write_request();
    this->context.restart();
    asio::post(this->context, [this] { this->connection->close_idle(); });
    this->run();
    CHECK(this->requests == 1);
}

// A connection is closed as soon as its caller has taken a long response, while
// the caller sends its next request.
TEST_CASE_FIXTURE(
    idle_connection_fixture,
    "idle_time_out_counts_from_the_end_of_a_response_taken_slowly")
{
    // More than the kernel takes of a connection on loopback.
    const std::string body(16U << 20U, 'x');
    this->events.request = [&](const caller_ptr& from, base::duration) {
        this->requests += 1;
        from->answer("HTTP/1.1 200 OK\r\n", body);
    };
    this->write_request();
    this->run();
    REQUIRE(this->connection->unsent() > 0);
    this->now += this->bounds.idle_timeout + 2s;
    std::string taken(body.size(), '\0');
    asio::async_read(
        this->caller, asio::buffer(taken), [](error_code, std::size_t) {});
    while (this->connection->unsent() > 0)
        this->run();
    this->connection->check_time(this->now, this->bounds);
    this->run();
    CHECK_FALSE(this->closed);
    this->write_request();
    this->run();
    CHECK(this->requests == 2);
}

// Failure guarded against: a second head in the middle of a response.
TEST_CASE_FIXTURE(idle_connection_fixture,
                  "response_begun_another_answer_breaks_it_off")
{
    this->events.request = [](const caller_ptr& from, base::duration) {
        from->begin_pieces("HTTP/1.1 200 OK\r\n");
        from->send_piece("first");
        from->answer(own_answer{503, "test", std::nullopt});
    };
    this->write_request();
    this->write_request();
    this->run();
    this->caller.shutdown(tcp::socket::shutdown_send);
    this->run();
    const std::string response = this->received();
    CHECK(response.ends_with("5\r\nfirst\r\n"));
    CHECK(response.find("503") == std::string::npos);
}

TEST_CASE_FIXTURE(idle_connection_fixture,
                  "response_begun_twice_has_the_first_head")
{
    this->events.request = [](const caller_ptr& from, base::duration) {
        from->begin_pieces("HTTP/1.1 200 OK\r\n");
        from->begin_pieces("HTTP/1.1 500 Error\r\n");
        from->end_pieces();
    };
    this->write_request();
    this->run();
    this->caller.shutdown(tcp::socket::shutdown_send);
    this->run();
    const std::string response = this->received();
    CHECK(response.starts_with("HTTP/1.1 200 OK"));
    CHECK(response.find("500") == std::string::npos);
}

} // namespace greengagedrum::relay
