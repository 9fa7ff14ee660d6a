// Rate limits that upstreams announce in their responses.
#include <greengagedrum/entry/test/entry_fixture.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
using test_clock = std::chrono::steady_clock;

constexpr double limit_per_second = 2;
constexpr auto settling_time = 3s; // until the limit must hold
constexpr auto window = 4s;
constexpr double overshoot = 1.5;
constexpr double slack = 5; // requests
constexpr auto request_interval = 100ms;

class announced_limit_fixture : public entry_fixture
{
public:
    announced_limit_fixture()
    {
        this->set_upstream_handler([this](const httplib::Request& request,
                                          httplib::Response& response) {
            {
                const std::lock_guard guard(this->arrivals_mutex);
                this->arrivals.push_back(test_clock::now());
            }
            if (this->announcing)
                response.set_header("Server-Limit", "2.0");
            write_signed_answer(request, response, "answer");
        });
    }

    void send_requests_for(test_clock::duration duration) const
    {
        const auto until = test_clock::now() + duration;
        while (test_clock::now() < until) {
            const auto next = test_clock::now() + request_interval;
            this->client().Get("/again/1", headers());
            std::this_thread::sleep_until(next);
        }
    }

    std::atomic<bool> announcing{true};

    // Arrivals within the window that has just ended.
    std::size_t latest_arrivals() const
    {
        const std::lock_guard guard(this->arrivals_mutex);
        const auto begin = test_clock::now() - window;
        return static_cast<std::size_t>(std::count_if(
            this->arrivals.begin(), this->arrivals.end(), [&](auto at) {
                return at >= begin;
            }));
    }

    // The most arrivals in any window that begins after the settling time.
    std::size_t most_in_a_window() const
    {
        const std::lock_guard guard(this->arrivals_mutex);
        REQUIRE_FALSE(this->arrivals.empty());
        const auto settled = this->arrivals.front() + settling_time;
        std::size_t most = 0;
        for (const auto begin : this->arrivals) {
            if (begin < settled)
                continue;
            const auto count = std::count_if(
                this->arrivals.begin(), this->arrivals.end(), [&](auto at) {
                    return at >= begin && at < begin + window;
                });
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

private:
    mutable std::mutex arrivals_mutex;
    std::vector<test_clock::time_point> arrivals;
};

} // namespace

// An upstream that asks for fewer requests would be overloaded further.
TEST_CASE_FIXTURE(announced_limit_fixture,
                  "announced_rate_limit_of_an_upstream_is_kept")
{
    this->send_requests_for(settling_time + window + 500ms);
    CHECK(static_cast<double>(this->most_in_a_window()) <=
          overshoot * limit_per_second * 4 + slack);
}

TEST_CASE_FIXTURE(announced_limit_fixture,
                  "limited_upstream_gets_what_it_announces_until_it_ends")
{
    this->send_requests_for(settling_time + window + 500ms);
    CHECK(this->latest_arrivals() >= 5); // 8 are allowed
    this->announcing = false;
    this->send_requests_for(1s); // reads the end
    this->send_requests_for(window);
    CHECK(this->latest_arrivals() >= 30); // of 40
}

} // namespace greengagedrum::entry
