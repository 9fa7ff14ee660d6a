// What an entry as a process keeps to of its limits.
#include "entry_process_fixture.hpp"
#include "processor_time.hpp"

#include <csignal>
#include <vector>

namespace end_to_end
{

namespace
{

using namespace std::chrono_literals;

// That a sanitizer takes for itself.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t sanitizer_kilobytes = 1'500'000;
#else
constexpr std::size_t sanitizer_kilobytes = 0;
#endif

struct entry_limits_fixture : entry_process_fixture {
    // Kilobytes, the most that the process has used at a time.
    static std::size_t memory_used(const child_process& of)
    {
        std::ifstream status("/proc/" + std::to_string(of.id()) + "/status");
        std::string word;
        std::size_t out = 0;
        while (status >> word) {
            if (word == "VmHWM:")
                status >> out;
        }
        return out;
    }

    // The status of the answer to a short request; 0: none in time.
    unsigned ask(std::uint16_t port, const char* target)
    {
        tcp::socket socket(this->context);
        error_code fault;
        socket.connect(this->endpoint(port), fault);
        const std::string text = "GET " + std::string(target) +
                                 " HTTP/1.1\r\nHost: a\r\n"
                                 "X-Attempt-Id: a\r\n\r\n";
        asio::write(socket, asio::buffer(text), fault);
        socket.non_blocking(true);
        std::string answer(12, ' '); // "HTTP/1.1 200"
        std::size_t arrived = 0;
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (arrived < answer.size() &&
               std::chrono::steady_clock::now() < end) {
            arrived += socket.read_some(asio::buffer(answer) + arrived, fault);
            std::this_thread::sleep_for(5ms);
        }
        return arrived < answer.size()
                   ? 0
                   : static_cast<unsigned>(std::stoul(answer.substr(9)));
    }

    std::unique_ptr<child_process> start_with_descriptors(rlim_t count)
    {
        const lowered_descriptor_limit limit(count);
        return this->start();
    }

    void connect_callers(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->callers.emplace_back(this->context);
            this->callers.back().connect(this->endpoint(callers_port));
            this->callers.back().non_blocking(true);
        }
    }

    // Writes what the kernel takes of each caller's text, again and again.
    void write_all(const std::string& text, std::chrono::milliseconds most)
    {
        std::vector<std::size_t> written(this->callers.size());
        const auto end = std::chrono::steady_clock::now() + most;
        while (std::chrono::steady_clock::now() < end) {
            for (std::size_t each = 0; each < this->callers.size(); ++each) {
                error_code fault;
                written[each] += this->callers[each].write_some(
                    asio::buffer(text) + written[each], fault);
            }
            std::this_thread::sleep_for(1ms);
        }
    }

    std::vector<tcp::socket> callers;
};

} // namespace

// Guards against a process that the platform kills with all that it holds,
// since callers send large bodies and wait.
TEST_CASE_FIXTURE(entry_limits_fixture,
                  "many_large_bodies_that_wait_memory_within_limit")
{
    constexpr std::size_t memory_mb = 260;
    this->limits = "memoryMb = 260\n";
    this->write_settings();
    const auto entry = this->start();
    REQUIRE(this->listens(callers_port, 2s));
    this->connect_callers(150);
    this->write_all("POST /x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: a\r\n"
                    "Content-Length: 4000000\r\n\r\n" +
                        std::string(3'900'000, 'x'),
                    3s);
    CHECK_FALSE(entry->wait(0ms));
    CHECK(memory_used(*entry) <=
          memory_mb * 1'000'000 / 1024 + sanitizer_kilobytes);
    this->callers.clear();
    entry->signal(SIGTERM);
    CHECK(entry->wait(9s) == 0);
}

// Guards against an event loop that asks at once for a connection that it has
// no descriptor for, and has no time for anything else.
TEST_CASE_FIXTURE(entry_limits_fixture,
                  "more_callers_than_descriptors_loop_stays_idle")
{
    const auto entry = this->start_with_descriptors(64);
    REQUIRE(this->listens(callers_port, 2s));
    this->connect_callers(120);
    this->write_all("GET /x HTTP/1.1\r\nHost: a\r\n", 200ms); // not whole
    const double before = processor_seconds(entry->id());
    std::this_thread::sleep_for(1s);
    CHECK(processor_seconds(entry->id()) - before < 0.2);
    CHECK(this->ask(readiness_port, "/readyz") == 503);
    CHECK(this->ask(metrics_port, "/metrics") == 200);
    CHECK_FALSE(entry->wait(0ms));
}

// Guards against callers that are kept out by others that only hold
// connections.
TEST_CASE_FIXTURE(entry_limits_fixture,
                  "idle_callers_hold_all_connections_new_caller_is_answered")
{
    const auto entry = this->start_with_descriptors(64);
    REQUIRE(this->listens(callers_port, 2s));
    this->connect_callers(120);
    std::this_thread::sleep_for(200ms);
    CHECK(this->ask(callers_port, "/x") == 503); // no configuration yet
    CHECK(this->log().find("callers_at_bound") != std::string::npos);
    entry->signal(SIGTERM);
    CHECK(entry->wait(9s) == 0);
}

} // namespace end_to_end
