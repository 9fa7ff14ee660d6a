// Idle connections: their bounds, and what closes them.
#include <greengagedrum/relay/kept_connections.hpp>

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::relay
{

namespace
{

using namespace std::chrono_literals;

struct kept_connections_fixture {
    asio::io_context context;
    tcp::acceptor acceptor{context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    kept_connections tested{context, 2};
    std::vector<tcp::socket> upstream_ends;

    kept_target target(const char* name) const
    {
        return {base::upstream_id(std::string_view(name)),
                {"127.0.0.1", this->acceptor.local_endpoint().port()}};
    }

    void keep(const char* name, base::duration time = 5s)
    {
        tcp::socket near(this->context);
        near.connect(this->acceptor.local_endpoint());
        this->upstream_ends.push_back(this->acceptor.accept());
        this->tested.keep(this->target(name), std::move(near), time);
    }

    // Runs handlers until so many are left, for a second at most.
    void run_until_size(std::size_t size)
    {
        for (int turn = 0; turn < 100 && this->tested.size() != size; ++turn) {
            this->context.restart();
            this->context.run_for(10ms);
        }
        CHECK(this->tested.size() == size);
    }
};

} // namespace

TEST_CASE_FIXTURE(kept_connections_fixture,
                  "kept_connection_carries_bytes_once_taken")
{
    this->keep("i-1");
    auto taken = this->tested.take(this->target("i-1"));
    REQUIRE(taken);
    this->context.run_for(5ms); // the handlers of the ended waits
    CHECK_FALSE(this->tested.take(this->target("i-1")));
    asio::write(*taken, asio::buffer("ab", 2));
    std::array<char, 2> bytes{};
    asio::read(this->upstream_ends[0], asio::buffer(bytes));
    CHECK(bytes[1] == 'b');
    CHECK(this->tested.totals().reused == 1);
}

TEST_CASE_FIXTURE(kept_connections_fixture,
                  "byte_while_idle_closes_the_connection")
{
    this->keep("i-1");
    asio::write(this->upstream_ends[0], asio::buffer("x", 1));
    this->run_until_size(0);
    CHECK(this->tested.totals().closed_unused == 1);
}

TEST_CASE_FIXTURE(kept_connections_fixture,
                  "end_while_idle_closes_the_connection")
{
    this->keep("i-1");
    this->upstream_ends.clear();
    this->run_until_size(0);
}

// The event loop has not yet run the handler of the byte.
TEST_CASE_FIXTURE(kept_connections_fixture,
                  "connection_with_an_unread_byte_is_not_taken")
{
    this->keep("i-1");
    asio::write(this->upstream_ends[0], asio::buffer("x", 1));
    CHECK_FALSE(this->tested.take(this->target("i-1")));
}

TEST_CASE_FIXTURE(kept_connections_fixture,
                  "expired_connection_is_not_taken_by_a_late_loop")
{
    this->keep("i-1", 1ms);
    std::this_thread::sleep_for(3ms);
    CHECK_FALSE(this->tested.take(this->target("i-1")));
    this->keep("i-2", 1ms);
    this->run_until_size(0);
}

// Another incarnation, or another process at the address, is no target.
TEST_CASE_FIXTURE(kept_connections_fixture,
                  "replaced_upstream_gets_no_kept_connection")
{
    this->keep("i-1");
    kept_target moved = this->target("i-1");
    moved.address.ip = "127.0.0.2";
    CHECK_FALSE(this->tested.take(moved));
    CHECK_FALSE(this->tested.take(this->target("i-2")));
    this->tested.close_other_addresses(this->target("i-1"));
    CHECK(this->tested.size() == 1);
    this->tested.close_other_addresses(moved);
    CHECK(this->tested.size() == 0);
    this->keep("i-1");
    this->tested.close(base::upstream_id(std::string_view("i-1")));
    CHECK(this->tested.size() == 0);
}

TEST_CASE_FIXTURE(kept_connections_fixture,
                  "connections_beyond_the_bounds_close_the_oldest")
{
    this->keep("i-1");
    this->keep("i-1");
    CHECK(this->tested.size() == 1);
    this->keep("i-2");
    this->keep("i-3");
    CHECK(this->tested.freshest(8) ==
          std::vector{base::upstream_id(std::string_view("i-3")),
                      base::upstream_id(std::string_view("i-2"))});
    CHECK(this->tested.freshest(1).size() == 1);
    this->tested.shut_down();
    this->keep("i-4");
    CHECK(this->tested.size() == 0);
    CHECK(this->tested.totals().closed_unused == 4);
}

} // namespace greengagedrum::relay
