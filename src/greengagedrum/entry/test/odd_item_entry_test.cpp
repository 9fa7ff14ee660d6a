// An entry whose store holds an odd item of another program.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// Nothing listens there.
constexpr int odd_port = 1;

// Longer than the entry takes to read a change.
constexpr auto read_time = 600ms;

struct odd_item_entry_fixture {
    raw_upstream first{[](const std::string&) { return answer(); }};
    raw_upstream second{[](const std::string&) { return answer(); }};
    entry_fixture fixture{options_for(this->first.port(), this->second.port())};

    static std::string answer()
    {
        return "Content-Type: text/plain\r\n\r\nanswer";
    }

    static fixture_options options_for(int first, int second)
    {
        fixture_options out;
        out.upstream_ports = {first, second};
        out.retry_slack = 100;
        return out;
    }

    void publish(const std::string& name,
                 int port,
                 std::optional<std::uint64_t> started_unix_ms)
    {
        this->fixture.publish_upstream(name, port, "v1", started_unix_ms);
        std::this_thread::sleep_for(read_time);
    }

    int served(int requests) const
    {
        int out = 0;
        for (int number = 0; number < requests; ++number) {
            const auto response = this->fixture.client().Post(
                "/again/", entry_fixture::headers(), "", "text/plain");
            out += response && response->status == 200 ? 1 : 0;
        }
        return out;
    }
};

} // namespace

// Guards against an odd start time that removes all upstreams that have none.
TEST_CASE_FIXTURE(odd_item_entry_fixture,
                  "odd_item_with_start_time_others_go_on_serving")
{
    constexpr int requests = 8;
    CHECK(this->served(requests) == requests);
    this->publish("odd", odd_port, 1'000);
    CHECK(this->served(requests) == requests);
}

// Guards against an odd start time after which an upstream never comes back.
TEST_CASE_FIXTURE(odd_item_entry_fixture,
                  "odd_start_far_ahead_upstream_serves_after_its_own_reports")
{
    constexpr int requests = 4;
    this->publish("i-2", this->second.port(), 1'000);
    this->publish("i-1", this->first.port(), 1'000);
    CHECK(this->served(requests) == requests);
    this->publish("i-2", odd_port, 4'102'444'800'000);
    this->publish("i-1", odd_port, 4'102'444'800'000);
    for (int report = 0; report < 3; ++report)
        this->publish("i-1", this->first.port(), 1'000);
    CHECK(this->served(requests) == requests);
}

} // namespace greengagedrum::entry
