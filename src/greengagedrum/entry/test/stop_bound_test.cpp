// The bound after which a stopping entry takes nothing, in virtual time.
#include <greengagedrum/entry/stream_versions.hpp>

#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// A request handler whose tick is never called, so that only its clock can
// tell it that a bound has passed.
struct stop_bound_fixture {
    peer_paths::owner path_events()
    {
        peer_paths::owner out;
        out.clock = [this] { return this->now; };
        return out;
    }

    base::instant now{1h};
    relay::asio::io_context context;
    shared_state state{[this] { return this->now; },
                       cluster_state(),
                       quota::usage_limiter(now),
                       traffic::scheduler({}, {}),
                       rate_limited_log(),
                       telemetry::registry(1)};
    peer_paths paths{"entry-1", "127.0.0.1", path_events()};
    stream_versions versions{this->state, {}, {}};
    request_handler tested{
        this->context, this->state, this->paths, this->versions};
    relay::tcp::socket caller{this->context};

    stop_bound_fixture()
    {
        this->tested.listen({"127.0.0.1", 0});
        this->caller.connect(relay::tcp_endpoint(this->tested.address()));
        this->context.run_for(10ms);
    }

    void stop()
    {
        this->state.stopping = true;
        this->tested.begin_stop({{this->now, this->now}, 8s});
    }

    std::string respond()
    {
        relay::asio::write(
            this->caller,
            relay::asio::buffer("POST /once/ HTTP/1.1\r\nHost: hall.example\r\n"
                                "X-Attempt-Id: a-1\r\n"
                                "Content-Length: 0\r\n\r\n"));
        std::string out;
        bool done = false;
        relay::asio::async_read_until(
            this->caller,
            relay::asio::dynamic_buffer(out),
            "}\n",
            [&done](relay::error_code, std::size_t) { done = true; });
        while (!done && this->context.run_one_for(2s) > 0) {
        }
        return out;
    }
};

} // namespace

// The end of accepting is noticed by a tick, up to 50 ms late.
TEST_CASE_FIXTURE(stop_bound_fixture,
                  "request_right_after_the_bound_is_refused_before_a_tick")
{
    this->stop();
    this->now += 2500ms;
    const std::string response = this->respond();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: ") != std::string::npos);
    CHECK(response.find("stopping") != std::string::npos);
}

// A bound that comes too early refuses what could be served.
TEST_CASE_FIXTURE(stop_bound_fixture,
                  "request_right_before_the_bound_is_looked_at")
{
    this->stop();
    this->now += 2499ms;
    CHECK(this->respond().find("not_configured") != std::string::npos);
}

} // namespace greengagedrum::entry
