// The path of a request through an entry over loopback, with its failure cases.
#include <greengagedrum/entry/test/entry_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// Writes the events `first` to `last` of a stream. `cut`: then closes the
// connection before the end of the stream.
void stream_events(const httplib::Request& request,
                   httplib::Response& response,
                   int first,
                   int last,
                   bool cut)
{
    response.set_header("X-Attempt-Id",
                        request.get_header_value("X-Attempt-Id"));
    response.set_header("X-Response-Signature", "signed");
    response.set_chunked_content_provider(
        "text/event-stream",
        [first, last, cut](std::size_t, httplib::DataSink& sink) {
            for (int id = first; id <= last; ++id) {
                const std::string text = "id: " + std::to_string(id) +
                                         "\ndata: " + std::to_string(id * 7) +
                                         "\n\n";
                sink.write(text.data(), text.size());
            }
            if (cut)
                return false; // cuts the stream
            sink.done();
            return true;
        });
}

std::string whole_stream(int last)
{
    std::string out;
    for (int id = 1; id <= last; ++id)
        out += "id: " + std::to_string(id) +
               "\ndata: " + std::to_string(id * 7) + "\n\n";
    return out;
}

} // namespace

TEST_CASE_FIXTURE(entry_fixture,
                  "answer_is_passed_unchanged_with_its_signature")
{
    auto client = this->client();
    const auto response =
        client.Post("/once/x?q=1", headers(), "the body", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "answer");
    CHECK(response->get_header_value("X-Response-Signature") == "signed");
    const httplib::Request forwarded = this->received_requests().back();
    CHECK(forwarded.method == "POST");
    CHECK(forwarded.target == "/once/x?q=1");
    CHECK(forwarded.body == "the body");
    CHECK(forwarded.get_header_value("X-Tenant") == "gate");
    CHECK(forwarded.get_header_value("X-Target-Instance") == "i-1");
    CHECK_FALSE(forwarded.has_header("Api-Key"));
    CHECK(std::stoi(forwarded.get_header_value("X-Deadline-Ms")) <= 2000);
}

TEST_CASE_FIXTURE(entry_fixture, "system_headers_set_by_the_caller_are_removed")
{
    httplib::Headers request_headers = headers();
    request_headers.emplace("X-Tenant", "another");
    request_headers.emplace("Kv-From", "10.0.0.1:80/x");
    request_headers.emplace("Connection", "X-Attempt-Id");
    auto client = this->client();
    REQUIRE(client.Get("/again/", request_headers));
    const httplib::Request forwarded = this->received_requests().back();
    CHECK(forwarded.get_header_value_count("X-Tenant") == 1);
    CHECK(forwarded.get_header_value("X-Tenant") == "gate");
    CHECK_FALSE(forwarded.has_header("Kv-From"));
    CHECK(forwarded.get_header_value("X-Attempt-Id") == "a-1");
}

TEST_CASE_FIXTURE(entry_fixture, "unknown_key_gets_401_and_unknown_route_404")
{
    httplib::Headers request_headers = headers();
    request_headers.erase("Api-Key");
    auto client = this->client();
    CHECK(client.Get("/again/", request_headers)->status == 401);
    CHECK(client.Get("/nowhere/", headers())->status == 404);
}

// An upstream responds with the late response to another request on the same
// connection. The caller must not get it.
TEST_CASE_FIXTURE(entry_fixture, "answer_to_another_request_is_not_passed_on")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            write_signed_answer(request, response, "another's");
            response.headers.erase("X-Attempt-Id");
            response.set_header("X-Attempt-Id", "a-0");
        });
    auto client = this->client();
    const auto response = client.Post("/once/", headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 502);
    CHECK(response->body.find("another's") == std::string::npos);
    CHECK(this->received_requests().size() == 1);
}

TEST_CASE_FIXTURE(entry_fixture, "success_without_signature_is_not_passed_on")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            response.set_header("X-Attempt-Id",
                                request.get_header_value("X-Attempt-Id"));
            response.set_content("unsigned", "text/plain");
        });
    auto client = this->client();
    CHECK(client.Post("/once/", headers(), "", "text/plain")->status == 502);
}

// The only upstream reports that it did not run the request. The caller is told
// so, and when to retry.
TEST_CASE_FIXTURE(entry_fixture, "request_not_run_by_its_upstream_gets_503")
{
    this->set_upstream_handler(
        [](const httplib::Request&, httplib::Response& response) {
            response.status = 503;
            response.set_header("X-Not-Executed", "1");
        });
    auto client = this->client();
    const auto response = client.Post("/once/", headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK(response->has_header("Retry-After"));
    CHECK_FALSE(response->has_header("X-Not-Executed"));
}

// An upstream responds with the refusal of another request, which says that it
// did not run that one. Whether it ran this one is unknown, so the caller must
// not be told that a retry is safe.
TEST_CASE_FIXTURE(entry_fixture, "refusal_of_another_request_gets_502")
{
    for (const int status : {503, 421}) {
        this->set_upstream_handler(
            [status](const httplib::Request&, httplib::Response& response) {
                response.status = status;
                response.set_header("X-Attempt-Id", "a-0");
                response.set_header("X-Not-Executed", "1");
            });
        auto client = this->client();
        const auto response =
            client.Post("/once/", headers(), "", "text/plain");
        REQUIRE(response);
        CHECK(response->status == 502);
    }
    CHECK(this->received_requests().size() == 2);
}

TEST_CASE_FIXTURE(entry_fixture, "upstreams_own_failure_is_passed_unchanged")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            write_signed_answer(request, response, "its failure");
            response.status = 500;
        });
    auto client = this->client();
    const auto response = client.Post("/once/", headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 500);
    CHECK(response->body == "its failure");
    CHECK(response->get_header_value("X-Response-Signature") == "signed");
}

TEST_CASE_FIXTURE(entry_fixture, "stream_is_passed_event_by_event_to_its_end")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            stream_events(request, response, 1, 20, false);
        });
    auto client = this->client();
    const auto response = client.Post("/stream/", headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == whole_stream(20));
}

// A stream is cut after seven events. It may be resumed, but its only upstream
// was already tried. The response must not look complete to the caller.
TEST_CASE_FIXTURE(entry_fixture, "stream_cut_and_not_resumed_looks_incomplete")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            stream_events(request, response, 1, 7, true);
        });
    auto client = this->client();
    CHECK_FALSE(client.Post("/stream/", headers(), "", "text/plain"));
}

TEST_CASE_FIXTURE(entry_fixture, "pipelined_requests_are_answered_in_order")
{
    this->set_upstream_handler(
        [](const httplib::Request& request, httplib::Response& response) {
            write_signed_answer(request, response, "<" + request.path + ">");
        });
    const std::string rest = " HTTP/1.1\r\nHost: hall.example\r\n"
                             "X-Attempt-Id: a-1\r\nApi-Key: key-1\r\n";
    const std::string responses =
        this->send_raw("GET /again/1" + rest + "\r\n" + "GET /again/2" + rest +
                       "Connection: close\r\n\r\n");
    CHECK(responses.find("</again/1>") < responses.find("</again/2>"));
    CHECK(responses.find("</again/2>") != std::string::npos);
}

TEST_CASE_FIXTURE(entry_fixture, "smuggled_request_is_refused_and_not_run")
{
    const std::string responses = this->send_raw(
        "POST /once/ HTTP/1.1\r\nHost: hall.example\r\nX-Attempt-Id: a-1\r\n"
        "Api-Key: key-1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        "\r\n0\r\n\r\nGET /again/ HTTP/1.1\r\nHost: hall.example\r\n\r\n");
    CHECK(responses.starts_with("HTTP/1.1 400"));
    CHECK(responses.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(this->received_requests().empty());
}

// The entry is stopped during a request. The caller gets the complete response,
// and is told that the connection closes.
TEST_CASE_FIXTURE(entry_fixture, "request_in_progress_at_a_stop_is_answered")
{
    this->set_upstream_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
            this->entry_under_test->stop();
            std::this_thread::sleep_for(200ms);
            write_signed_answer(request, response, "late but whole");
        });
    auto client = this->client();
    const auto response = client.Post("/once/", headers(), "", "text/plain");
    REQUIRE(response);
    CHECK(response->body == "late but whole");
    CHECK(response->get_header_value("Connection") == "close");
}

// The caller closes its connection during a stream. The connection to the
// upstream is closed too, which ends the work there.
TEST_CASE_FIXTURE(entry_fixture,
                  "upstream_connection_closes_when_the_caller_leaves")
{
    const auto connection_closed = std::make_shared<std::atomic<bool>>(false);
    this->set_upstream_handler([connection_closed](
                                   const httplib::Request& request,
                                   httplib::Response& response) {
        response.set_header("X-Attempt-Id",
                            request.get_header_value("X-Attempt-Id"));
        response.set_header("X-Response-Signature", "signed");
        response.set_chunked_content_provider(
            "text/event-stream",
            [connection_closed](std::size_t offset, httplib::DataSink& sink) {
                const std::string text =
                    "id: " + std::to_string(offset + 1) + "\ndata: x\n\n";
                std::this_thread::sleep_for(20ms);
                if (sink.is_writable() && sink.write(text.data(), text.size()))
                    return true;
                *connection_closed = true;
                return false;
            });
    });
    {
        relay::asio::io_context context;
        relay::tcp::socket caller(context);
        caller.connect(
            relay::tcp_endpoint(this->entry_under_test->caller_address()));
        const std::string text =
            "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\n"
            "X-Attempt-Id: a-1\r\nApi-Key: key-1\r\n"
            "Content-Length: 0\r\n\r\n";
        relay::asio::write(caller, relay::asio::buffer(text));
        std::array<char, 64> some{};
        caller.read_some(relay::asio::buffer(some));
    }
    for (int tries = 0; tries < 200 && !*connection_closed; ++tries)
        std::this_thread::sleep_for(10ms);
    CHECK(*connection_closed);
}

// Guards against sending requests to the upstreams of a data centre that is
// evacuated for maintenance.
TEST_CASE_FIXTURE(entry_fixture,
                  "evacuated_upstream_gets_no_requests_until_the_end")
{
    const auto status = [this] {
        auto client = this->client();
        const auto response =
            client.Post("/once/", headers(), "x", "text/plain");
        REQUIRE(response);
        return std::pair(response->status, response->has_header("Retry-After"));
    };
    const auto becomes = [&](int wanted) {
        // Waits for twice the time in which a change must be in force.
        for (int tries = 0; tries < 200; ++tries) {
            if (status().first == wanted)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    };
    CHECK(status().first == 200);
    this->set_evacuated(true);
    REQUIRE(becomes(503));
    const std::size_t before = this->received_requests().size();
    for (int count = 0; count < 5; ++count)
        CHECK(status() == std::pair(503, true));
    CHECK(this->received_requests().size() == before);
    this->set_evacuated(false);
    CHECK(becomes(200));
}

} // namespace greengagedrum::entry
