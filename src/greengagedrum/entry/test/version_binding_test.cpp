// Streams that break off in a service with upstreams of several versions.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

namespace greengagedrum::entry
{

namespace
{

const std::string stream_head = "Content-Type: text/event-stream\r\n\r\n";

// Breaks off inside the second event, and goes on with it when resumed.
std::string respond(const std::string& head)
{
    const bool resumed = head.find("Last-Event-Id: 1") != std::string::npos;
    return stream_head +
           (resumed ? "id: 2\ndata: 14\n\n" : "id: 1\ndata: 7\n\nid: 2\nda");
}

fixture_options options_for(const std::vector<int>& ports,
                            const std::vector<std::string>& versions)
{
    fixture_options out;
    out.upstream_ports = ports;
    out.upstream_versions = versions;
    out.retry_slack = 10;
    return out;
}

} // namespace

// Failure guarded against: the caller gets a response that two versions wrote.
TEST_CASE("interrupted_stream_without_another_of_its_version_is_broken_off")
{
    const raw_upstream first(respond);
    const raw_upstream second(respond);
    const entry_fixture fixture(
        options_for({first.port(), second.port()}, {"v1", "v1.1"}));
    const std::string response = fixture.send_raw(
        "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\nApi-Key: "
        "key-1\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Deadline-Ms: "
        "2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK(response.find("data: 7") != std::string::npos);
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK(first.request_count() + second.request_count() == 1);
}

TEST_CASE("interrupted_stream_is_resumed_at_another_upstream_of_its_version")
{
    const raw_upstream first(respond);
    const raw_upstream second(respond);
    const entry_fixture fixture(
        options_for({first.port(), second.port()}, {"v1.1", "v1.1"}));
    const auto response = fixture.client().Post(
        "/stream/", entry_fixture::headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->body == "id: 1\ndata: 7\n\nid: 2\ndata: 14\n\n");
}

} // namespace greengagedrum::entry
