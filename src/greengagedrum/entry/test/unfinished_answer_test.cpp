// Responses that end before they are whole, though their connection was closed
// in order.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

namespace greengagedrum::entry
{

namespace
{

const std::string unframed_stream = "Content-Type: text/event-stream\r\n\r\n";

struct raw_upstream_fixture {
    explicit raw_upstream_fixture(const std::string& response)
        : upstream([response](const std::string&) { return response; }),
          fixture(options())
    {
    }

    fixture_options options() const
    {
        fixture_options out;
        out.upstream_ports = {this->upstream.port()};
        return out;
    }

    // Everything that the caller is sent; the body is as it is framed.
    std::string request(const std::string& target,
                        const std::string& version = "1.1",
                        relay::error_code* end = nullptr) const
    {
        return this->fixture.send_raw(
            "POST " + target + " HTTP/" + version +
                "\r\nHost: hall.example\r\nApi-Key: key-1\r\nX-Attempt-Id: "
                "0123456789abcdef\r\nX-Deadline-Ms: 2000\r\nConnection: "
                "close\r\nContent-Length: 0\r\n\r\n",
            end);
    }

    raw_upstream upstream;
    entry_fixture fixture;
};

// Everything that the caller of a stream is sent.
std::string request_stream(const entry_fixture& fixture)
{
    return fixture.send_raw(
        "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\nApi-Key: "
        "key-1\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Deadline-Ms: "
        "2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
}

bool ends_as_chunked_body(const std::string& response)
{
    return response.ends_with("0\r\n\r\n");
}

} // namespace

// An upstream crashes inside an event and its host closes the connection.
TEST_CASE("stream_closed_inside_an_event_looks_incomplete")
{
    const raw_upstream_fixture test(unframed_stream +
                                    "id: 1\ndata: 7\n\nid: 2\nda");
    const std::string response = test.request("/stream/");
    CHECK(response.find("data: 7") != std::string::npos);
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK_FALSE(ends_as_chunked_body(response));
}

TEST_CASE("stream_closed_inside_its_first_event_passes_nothing_on")
{
    const raw_upstream_fixture test(unframed_stream + "id: 1\nda");
    const std::string response = test.request("/stream/");
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("id: 1") == std::string::npos);
}

TEST_CASE("stream_closed_after_an_event_is_passed_whole")
{
    const raw_upstream_fixture test(unframed_stream +
                                    "id: 1\ndata: 7\n\nid: 2\ndata: 14\n\n");
    const std::string response = test.request("/stream/");
    CHECK(response.find("id: 2\ndata: 14\n\n") != std::string::npos);
    CHECK(ends_as_chunked_body(response));
}

// The upstream itself said where the body ends.
TEST_CASE(
    "stream_of_known_length_that_ends_inside_an_event_is_passed_unchanged")
{
    const std::string body = "id: 1\ndata: 7\n\nid: 2\nda";
    const raw_upstream_fixture test(
        "Content-Type: text/event-stream\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::string response = test.request("/stream/");
    CHECK(response.find("id: 2\nda") != std::string::npos);
    CHECK(ends_as_chunked_body(response));
}

// A stream without a single event can't be told from one that broke off before
// its first one.
TEST_CASE("stream_closed_without_an_event_looks_incomplete")
{
    const raw_upstream_fixture test(unframed_stream);
    CHECK(test.request("/stream/").starts_with("HTTP/1.1 502"));
}

TEST_CASE(
    "stream_with_its_type_in_capitals_closed_inside_an_event_is_not_passed")
{
    const raw_upstream_fixture test("Content-Type: Text/Event-Stream; a=b\r\n"
                                    "\r\nid: 1\ndata: 7\n\nid: 2\nda");
    const std::string response = test.request("/stream/");
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK_FALSE(ends_as_chunked_body(response));
}

TEST_CASE("stream_without_a_type_closed_inside_an_event_is_not_passed")
{
    const raw_upstream_fixture test("\r\nid: 1\ndata: 7\n\nid: 2\nda");
    const std::string response = test.request("/stream/");
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK_FALSE(ends_as_chunked_body(response));
}

TEST_CASE("stream_on_another_route_closed_inside_an_event_is_not_passed")
{
    const raw_upstream_fixture test(unframed_stream +
                                    "id: 1\ndata: 7\n\nid: 2\nda");
    CHECK(test.request("/once/").starts_with("HTTP/1.1 502"));
}

TEST_CASE("plain_body_without_length_is_whole_at_the_close")
{
    const raw_upstream_fixture test("Content-Type: text/plain\r\n\r\nall");
    const std::string response = test.request("/once/");
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("\r\n\r\nall"));
}

// Failure guarded against: an upstream crashes after its head, and the caller
// gets a success with an empty body of known length.
TEST_CASE("plain_body_without_length_closed_before_its_first_byte_not_passed")
{
    const raw_upstream_fixture test("Content-Type: text/plain\r\n\r\n");
    CHECK(test.request("/once/").starts_with("HTTP/1.1 502"));
}

TEST_CASE("empty_body_of_known_length_is_whole")
{
    const raw_upstream_fixture test("Content-Length: 0\r\n\r\n");
    CHECK(test.request("/once/").starts_with("HTTP/1.1 200"));
}

// A caller that knows no chunks sees only how its connection ends.
TEST_CASE("stream_closed_inside_an_event_is_reset_for_a_caller_without_chunks")
{
    const raw_upstream_fixture test(unframed_stream +
                                    "id: 1\ndata: 7\n\nid: 2\nda");
    relay::error_code end;
    const std::string response = test.request("/stream/", "1.0", &end);
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK(end == relay::asio::error::connection_reset);
}

// The rest is asked from another upstream, after the last whole event.
TEST_CASE("stream_closed_inside_an_event_is_resumed_after_the_last_whole_event")
{
    const auto respond = [](const std::string& head) {
        const bool resumed = head.find("Last-Event-Id: 1") != std::string::npos;
        return unframed_stream + (resumed ? "id: 2\ndata: 14\n\n"
                                          : "id: 1\ndata: 7\n\nid: 2\nda");
    };
    const raw_upstream first(respond);
    const raw_upstream second(respond);
    fixture_options options;
    options.upstream_ports = {first.port(), second.port()};
    options.retry_slack = 10;
    const entry_fixture fixture(options);
    const auto response = fixture.client().Post(
        "/stream/", entry_fixture::headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->body == "id: 1\ndata: 7\n\nid: 2\ndata: 14\n\n");
}

// Failure guarded against: the second upstream of a stream crashes between its
// head and its first event, and the part that the caller has looks whole.
TEST_CASE("resumed_stream_closed_without_an_event_looks_incomplete")
{
    const auto respond = [](const std::string& head) {
        const bool resumed = head.find("Last-Event-Id: 1") != std::string::npos;
        return unframed_stream + (resumed ? "" : "id: 1\ndata: 7\n\nid: 2\nda");
    };
    const raw_upstream first(respond);
    const raw_upstream second(respond);
    fixture_options options;
    options.upstream_ports = {first.port(), second.port()};
    options.retry_slack = 10;
    const entry_fixture fixture(options);
    const std::string response = request_stream(fixture);
    CHECK(response.find("data: 7") != std::string::npos);
    CHECK_FALSE(ends_as_chunked_body(response));
    CHECK(first.request_count() + second.request_count() == 2);
}

// Bytes after the head would be read as the next response.
TEST_CASE("response_to_head_on_a_streaming_route_has_no_body")
{
    for (const std::string framing :
         {"", "Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n"}) {
        CAPTURE(framing);
        const raw_upstream_fixture test(framing + unframed_stream);
        const std::string response = test.fixture.send_raw(
            "HEAD /stream/ HTTP/1.1\r\nHost: hall.example\r\nApi-Key: "
            "key-1\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Deadline-Ms: "
            "2000\r\nConnection: close\r\n\r\n");
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.find("\r\n\r\n") == response.size() - 4);
    }
}

} // namespace greengagedrum::entry
