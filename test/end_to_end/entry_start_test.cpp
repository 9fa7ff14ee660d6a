// The start of an entry as a process beside others that hold its ports, with
// signals at any moment.
#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/relay/asio.hpp>

#include "child_process.hpp"
#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

namespace end_to_end
{

namespace
{

using namespace std::chrono_literals;
namespace asio = greengagedrum::relay::asio;
using greengagedrum::relay::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint16_t callers_port = 8080;
constexpr std::uint16_t readiness_port = 8082;
constexpr std::uint16_t control_port = 9001;
constexpr std::uint16_t peer_port = 9100;
constexpr std::uint16_t metrics_port = 9464;

// An address of the loopback network for each test program and fixture.
std::string next_address()
{
    static unsigned count = 0;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(200 + process % 50) + "." +
           std::to_string(process / 50 % 250) + "." + std::to_string(++count);
}

struct entry_start_fixture {
    entry_start_fixture()
    {
        std::array<char, 32> pattern{"/tmp/entry-start-XXXXXX"};
        this->folder = ::mkdtemp(pattern.data());
        this->write_settings();
    }

    void write_settings() const
    {
        std::ofstream(this->folder + "/settings.toml")
            << "nodeName = \"entry\"\nzone = \"hall\"\nip = \"" << this->ip
            << "\"\nseedNodes = []\ninternalPortRange = [" << peer_port << ", "
            << peer_port + 9 << "]\n[listen]\nfrontend = \""
            << this->at(callers_port) << "\"\nreadiness = \""
            << this->at(readiness_port) << "\"\ncontrolPlane = \""
            << this->at(control_port)
            << "\"\n[bounds]\ngraceS = " << this->grace.count()
            << "\n[platform]\naddress = \"" << this->at(7000) << "\"\n";
    }

    std::string at(std::uint16_t port) const
    {
        return this->ip + ":" + std::to_string(port);
    }
    tcp::endpoint endpoint(std::uint16_t port) const
    {
        return {asio::ip::make_address(this->ip), port};
    }

    std::unique_ptr<child_process> start(const std::string& log = "log") const
    {
        ::setenv(greengagedrum::platform::settings_variable,
                 (this->folder + "/settings.toml").c_str(),
                 1);
        return std::make_unique<child_process>("greengagedrum-entry",
                                               std::vector<std::string>{},
                                               this->folder + "/" + log);
    }

    // Whether something listens there within that time.
    bool listens(std::uint16_t port, std::chrono::milliseconds most)
    {
        const auto end = std::chrono::steady_clock::now() + most;
        do {
            tcp::socket socket(this->context);
            error_code fault;
            socket.connect(this->endpoint(port), fault);
            if (!fault)
                return true;
            std::this_thread::sleep_for(10ms);
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

    std::string log(const std::string& name = "log") const
    {
        std::ostringstream out;
        out << std::ifstream(this->folder + "/" + name).rdbuf();
        return out.str();
    }

    std::string ip = next_address();
    std::chrono::seconds grace{8};
    std::string folder;
    asio::io_context context;
};

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
