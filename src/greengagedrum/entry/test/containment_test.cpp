// A poison request, which crashes each upstream that runs it, over loopback.
#include <greengagedrum/entry/test/entry_fixture.hpp>

#include <array>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// Upstreams that stop listening when they get the body "deadly", answer the
// body "sound" and reset the connection for any other.
class crashing_upstreams
{
public:
    crashing_upstreams()
    {
        for (fake_http_server& server : this->servers) {
            server.server.Post(
                ".*",
                [&](const httplib::Request& request,
                    httplib::Response& response) {
                    if (request.body == "sound")
                        return entry_fixture::write_signed_answer(
                            request, response, "answer");
                    if (request.body == "deadly") {
                        this->crashes += 1;
                        server.server.stop();
                    } else {
                        this->resets += 1;
                    }
                    response.set_chunked_content_provider(
                        "text/plain",
                        [](std::size_t, httplib::DataSink&) { return false; });
                });
            server.start();
        }
    }

    int crashed_upstreams() const { return this->crashes; }
    int connections_reset() const { return this->resets; }

protected:
    fixture_options options() const
    {
        fixture_options out;
        for (const fake_http_server& server : this->servers)
            out.upstream_ports.push_back(server.port);
        return out;
    }

private:
    std::array<fake_http_server, 5> servers;
    std::atomic<int> crashes = 0;
    std::atomic<int> resets = 0;
};

struct containment_fixture : crashing_upstreams, entry_fixture {
    containment_fixture() : entry_fixture(this->options()) {}

    httplib::Result post(const std::string& path, const std::string& body) const
    {
        auto client = this->client();
        return client.Post(path, headers(), body, "text/plain");
    }
};

} // namespace

TEST_CASE_FIXTURE(containment_fixture, "request_after_two_crashes_gets_503")
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto response = this->post("/once/x", "deadly");
        REQUIRE(response);
        CHECK(response->status == 502);
    }
    const auto response = this->post("/once/x", "deadly");
    REQUIRE(response);
    CHECK(response->status == 503);
    REQUIRE(response->has_header("Retry-After"));
    CHECK(std::stod(response->get_header_value("Retry-After")) >= 60);
    CHECK(this->crashed_upstreams() == 2);
    const auto other = this->post("/once/x", "sound");
    REQUIRE(other);
    CHECK(other->status == 200);
}

// One attempt may be sent to two upstreams, and the caller may repeat it.
TEST_CASE_FIXTURE(containment_fixture,
                  "repeated_poison_request_crashes_two_upstreams_in_total")
{
    for (int attempt = 0; attempt < 3; ++attempt)
        REQUIRE(this->post("/again/x", "deadly"));
    CHECK(this->crashed_upstreams() == 2);
}

// Connections are reset while their upstreams stay alive, which is no crash.
TEST_CASE_FIXTURE(containment_fixture,
                  "request_with_reset_connections_is_still_sent")
{
    constexpr int attempts = 6;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto response = this->post("/once/x", "unlucky");
        REQUIRE(response);
        CHECK(response->status == 502);
        std::this_thread::sleep_for(100ms);
    }
    CHECK(this->connections_reset() == attempts);
}

} // namespace greengagedrum::entry
