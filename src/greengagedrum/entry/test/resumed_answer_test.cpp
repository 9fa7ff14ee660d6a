// Answers of a second upstream to a stream whose caller has its first part.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

namespace greengagedrum::entry
{

namespace
{

struct resumed_answer_fixture {
    static fixture_options options_for(const std::vector<int>& ports)
    {
        fixture_options out;
        out.upstream_ports = ports;
        out.retry_slack = 10;
        return out;
    }

    // Breaks off after the first event; a resumed send gets `next`.
    static raw_upstream::responder responder_with(const std::string& next)
    {
        return [next](const std::string& head) {
            const bool resumed =
                head.find("Last-Event-Id") != std::string::npos;
            return resumed ? next
                           : "Content-Type: text/event-stream\r\n\r\n"
                             "id: 1\ndata: 7\n\nid: 2\nda";
        };
    }

    // Everything that the caller is sent until its connection closes. It asks
    // to keep the connection, and sends another request on it.
    static std::string request_twice(const entry_fixture& fixture)
    {
        const std::string request =
            "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\nApi-Key: "
            "key-1\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Deadline-Ms: "
            "2000\r\nContent-Length: 0\r\n\r\n";
        return fixture.send_raw(request + request);
    }

    static std::size_t head_count(const std::string& response)
    {
        std::size_t count = 0;
        for (std::size_t at = response.find("HTTP/1.1 ");
             at != std::string::npos;
             at = response.find("HTTP/1.1 ", at + 1))
            count += 1;
        return count;
    }
};

} // namespace

// Failure guarded against: the second upstream's answer is written, head and
// all, into the chunked body that the caller is reading.
TEST_CASE_FIXTURE(resumed_answer_fixture,
                  "stream_with_other_answer_to_its_resumption_is_broken_off")
{
    for (const std::string next :
         {"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 504 Late\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 404 Unknown\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 204 Empty\r\n\r\n",
          "HTTP/1.1 206 Part\r\nContent-Type: text/event-stream\r\n"
          "Content-Length: 17\r\n\r\nid: 2\ndata: 14\n\n",
          "Content-Type: text/plain\r\nContent-Length: 2\r\n\r\n{}",
          "Content-Type: text/plain\r\n\r\n{}",
          // Their heads end with the connection.
          "",
          "Content-Type: text/ev",
          "Content-Type: text/event-stream\r\n"}) {
        CAPTURE(next);
        const raw_upstream first(responder_with(next));
        const raw_upstream second(responder_with(next));
        const entry_fixture fixture(options_for({first.port(), second.port()}));
        const std::string response = request_twice(fixture);
        CHECK(head_count(response) == 1);
        CHECK(response.find("data: 7") != std::string::npos);
        CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    }
}

// The caller is served as long as another upstream may go on with the stream.
TEST_CASE_FIXTURE(
    resumed_answer_fixture,
    "stream_with_error_answer_to_its_resumption_goes_on_elsewhere")
{
    std::atomic<int> resumptions{0};
    const auto respond = [&resumptions](const std::string& head) {
        const std::string stream = "Content-Type: text/event-stream\r\n\r\n";
        if (head.find("Last-Event-Id") == std::string::npos)
            return stream + "id: 1\ndata: 7\n\nid: 2\nda";
        if (resumptions++ == 0)
            return std::string(
                "HTTP/1.1 404 Unknown\r\nContent-Length: 2\r\n\r\n{}");
        return stream + "id: 2\ndata: 14\n\n";
    };
    const raw_upstream first(respond);
    const raw_upstream second(respond);
    const raw_upstream third(respond);
    fixture_options options =
        options_for({first.port(), second.port(), third.port()});
    options.stream_attempts = 3;
    const entry_fixture fixture(options);
    const auto response = fixture.client().Post(
        "/stream/", entry_fixture::headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->body == "id: 1\ndata: 7\n\nid: 2\ndata: 14\n\n");
    CHECK(resumptions == 2);
}

} // namespace greengagedrum::entry
