// The start of an entry as a process beside others that hold its ports, with
// signals at any moment.
#include "entry_process_fixture.hpp"

#include <csignal>

namespace end_to_end
{

namespace
{

using namespace std::chrono_literals;

using entry_start_fixture = entry_process_fixture;

} // namespace

// Guards against a process that ends since another one holds a port for a
// moment.
TEST_CASE_FIXTURE(entry_start_fixture,
                  "port_held_for_a_moment_entry_starts_after_it")
{
    for (const std::uint16_t port :
         {callers_port, readiness_port, control_port}) {
        CAPTURE(port);
        auto holder = std::make_unique<tcp::acceptor>(this->context,
                                                      this->endpoint(port));
        const auto entry = this->start();
        CHECK_FALSE(entry->wait(300ms));
        holder.reset();
        CHECK(this->listens(port, 2s));
        CHECK(this->listens(callers_port, 2s));
        entry->signal(SIGTERM);
        CHECK(entry->wait(5s) == 0);
    }
}

// Guards against callers that are taken and reset while the entry waits for
// another port.
TEST_CASE_FIXTURE(entry_start_fixture, "port_held_no_caller_is_taken_meanwhile")
{
    const tcp::acceptor holder(this->context, this->endpoint(control_port));
    const auto entry = this->start();
    CHECK_FALSE(this->listens(callers_port, 500ms));
    CHECK_FALSE(entry->wait(0ms));
}

// Guards against a start that nobody notices to fail.
TEST_CASE_FIXTURE(entry_start_fixture,
                  "port_held_for_long_start_fails_and_says_so")
{
    this->grace = 0s;
    this->write_settings();
    const tcp::acceptor holder(this->context, this->endpoint(control_port));
    const auto entry = this->start();
    CHECK(entry->wait(8s) == 1);
    CHECK(this->log().find("address_unavailable") != std::string::npos);
    CHECK(this->log().find("stopped_by_fault") != std::string::npos);
}

// Guards against an entry that serves nobody since its metrics have no port.
TEST_CASE_FIXTURE(entry_start_fixture,
                  "metrics_port_held_entry_serves_and_gets_it_later")
{
    auto holder = std::make_unique<tcp::acceptor>(this->context,
                                                  this->endpoint(metrics_port));
    const auto entry = this->start();
    CHECK(this->listens(callers_port, 2s));
    holder.reset();
    CHECK(this->listens(metrics_port, 3s));
    CHECK(this->log().find("metrics_port_unavailable") != std::string::npos);
}

// Guards against a restart that fails while the process before it drains.
TEST_CASE_FIXTURE(entry_start_fixture,
                  "started_beside_draining_predecessor_takes_over")
{
    const auto predecessor = this->start("log-1");
    REQUIRE(this->listens(callers_port, 2s));
    tcp::socket caller(this->context);
    caller.connect(this->endpoint(callers_port));
    const std::string part = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Le";
    asio::write(caller, asio::buffer(part));
    std::this_thread::sleep_for(100ms);
    predecessor->signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    const auto successor = this->start("log-2");
    CHECK(predecessor->wait(10s) == 0);
    CHECK_FALSE(successor->wait(0ms));
    CHECK(this->listens(callers_port, 2s));
    successor->signal(SIGTERM);
    CHECK(successor->wait(5s) == 0);
}

// Guards against a process that a signal ends before its handlers are there.
TEST_CASE_FIXTURE(entry_start_fixture,
                  "signals_during_the_start_wait_for_their_handlers")
{
    auto holder = std::make_unique<tcp::acceptor>(this->context,
                                                  this->endpoint(control_port));
    const auto entry = this->start();
    std::this_thread::sleep_for(100ms);
    for (int count = 0; count < 20; ++count) {
        entry->signal(SIGHUP);
        std::this_thread::sleep_for(5ms);
    }
    CHECK_FALSE(entry->wait(0ms));
    holder.reset();
    CHECK(this->listens(callers_port, 2s));
    entry->signal(SIGHUP);
    CHECK_FALSE(entry->wait(100ms));
    entry->signal(SIGTERM);
    CHECK(entry->wait(5s) == 0);
}

TEST_CASE_FIXTURE(entry_start_fixture,
                  "stopped_while_it_waits_for_a_port_ends_with_success")
{
    const tcp::acceptor holder(this->context, this->endpoint(control_port));
    const auto entry = this->start();
    std::this_thread::sleep_for(100ms);
    entry->signal(SIGTERM);
    CHECK(entry->wait(1s) == 0);
}

} // namespace end_to_end
