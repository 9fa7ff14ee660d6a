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
class mortal_upstreams
{
public:
    mortal_upstreams()
    {
        for (fake_http_server& one : this->all) {
            one.server.Post(
                ".*",
                [&](const httplib::Request& asked, httplib::Response& given) {
                    if (asked.body == "sound")
                        return entry_fixture::write_signed_answer(
                            asked, given, "answer");
                    if (asked.body == "deadly") {
                        this->ended += 1;
                        one.server.stop();
                    } else {
                        this->reset += 1;
                    }
                    given.set_chunked_content_provider(
                        "text/plain",
                        [](std::size_t, httplib::DataSink&) { return false; });
                });
            one.start();
        }
    }

    int ended_by_request() const { return this->ended; }
    int connections_reset() const { return this->reset; }

protected:
    fixture_options published() const
    {
        fixture_options out;
        for (const fake_http_server& one : this->all)
            out.upstream_ports.push_back(one.port);
        return out;
    }

private:
    std::array<fake_http_server, 5> all;
    std::atomic<int> ended = 0;
    std::atomic<int> reset = 0;
};

struct containment_fixture : mortal_upstreams, entry_fixture {
    containment_fixture() : entry_fixture(this->published()) {}

    httplib::Result post(const std::string& path, const std::string& body) const
    {
        auto asked = this->client();
        return asked.Post(path, headers(), body, "text/plain");
    }
};

} // namespace

TEST_CASE_FIXTURE(containment_fixture,
                  "request_that_ended_two_upstreams_gets_503")
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto got = this->post("/once/x", "deadly");
        REQUIRE(got);
        CHECK(got->status == 502);
    }
    const auto got = this->post("/once/x", "deadly");
    REQUIRE(got);
    CHECK(got->status == 503);
    REQUIRE(got->has_header("Retry-After"));
    CHECK(std::stod(got->get_header_value("Retry-After")) >= 60);
    CHECK(this->ended_by_request() == 2);
    const auto other = this->post("/once/x", "sound");
    REQUIRE(other);
    CHECK(other->status == 200);
}

// One attempt may be sent to two upstreams, and the caller may repeat it.
TEST_CASE_FIXTURE(containment_fixture,
                  "repeatable_request_ends_two_upstreams_in_all")
{
    for (int attempt = 0; attempt < 3; ++attempt)
        REQUIRE(this->post("/again/x", "deadly"));
    CHECK(this->ended_by_request() == 2);
}

// Connections are reset while their upstreams stay alive, which is no crash.
TEST_CASE_FIXTURE(containment_fixture,
                  "request_whose_connections_are_reset_sent_on")
{
    constexpr int attempts = 6;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto got = this->post("/once/x", "unlucky");
        REQUIRE(got);
        CHECK(got->status == 502);
        std::this_thread::sleep_for(100ms);
    }
    CHECK(this->connections_reset() == attempts);
}

} // namespace greengagedrum::entry
