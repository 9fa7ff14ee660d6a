// An entry whose dispatcher is lost charges its waiting requests to the limits
// of their workspaces.
#include <greengagedrum/entry/test/memory_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

struct delegation_end_fixture : memory_fixture {
    delegation_end_fixture() : memory_fixture(0, 0, 200) {}

    // Sends requests of one workspace while another entry dispatches.
    void call_while_delegating(std::size_t count)
    {
        this->start_delegating();
        for (std::size_t at = 0; at < count; ++at)
            this->connections.push_back(
                &this->call("POST /urgent/ HTTP/1.1\r\nHost: hall.example\r\n"
                            "X-Attempt-Id: a-1\r\nX-Deadline-Ms: 6000\r\n"
                            "Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"));
        CHECK(this->run_until(
            [&] { return this->state.scheduler.waiting() == count; }));
    }

    std::size_t refused_over_limit() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->connections.begin(),
                          this->connections.end(),
                          [](relay::tcp::socket* one) {
                              return received(*one).starts_with("HTTP/1.1 429");
                          }));
    }

    std::vector<relay::tcp::socket*> connections;
};

} // namespace

// The refusal of one request frees the next one to be sent, and that one is
// then refused as not run.
TEST_CASE_FIXTURE(delegation_end_fixture,
                  "requests_over_limit_when_delegation_ends_are_not_sent")
{
    constexpr std::size_t count = 4; // as many as the upstream has slots
    this->call_while_delegating(count);
    this->stop_delegating();
    this->run_for(200ms);
    const std::size_t refused = this->refused_over_limit();
    CHECK(refused >= 2);
    CHECK(this->upstream_requests + refused == count);
}

} // namespace greengagedrum::entry
