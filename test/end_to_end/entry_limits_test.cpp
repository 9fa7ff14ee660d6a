// What an entry as a process keeps to of its limits.
#include "entry_process_fixture.hpp"

#include <csignal>
#include <vector>

namespace end_to_end
{

namespace
{

using namespace std::chrono_literals;

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
    CHECK(memory_used(*entry) <= memory_mb * 1'000'000 / 1024);
    this->callers.clear();
    entry->signal(SIGTERM);
    CHECK(entry->wait(9s) == 0);
}

} // namespace end_to_end
