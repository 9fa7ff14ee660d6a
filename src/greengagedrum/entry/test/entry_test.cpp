// The path of a request through an entry over loopback, with its failure cases.
#include <greengagedrum/entry/test/entry_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// Writes the events `first` to `last` of a stream. `cut`: then closes the
// connection before the end of the stream.
void stream_events(const httplib::Request& asked,
                   httplib::Response& given,
                   int first,
                   int last,
                   bool cut)
{
    given.set_header("X-Attempt-Id", asked.get_header_value("X-Attempt-Id"));
    given.set_header("X-Response-Signature", "signed");
    given.set_chunked_content_provider(
        "text/event-stream",
        [first, last, cut](std::size_t, httplib::DataSink& sink) {
            for (int id = first; id <= last; ++id) {
                const std::string text = "id: " + std::to_string(id) +
                                         "\ndata: " + std::to_string(id * 7) +
                                         "\n\n";
                sink.write(text.data(), text.size());
            }
            if (cut)
                return false; // closes the connection before the end of the
                              // stream
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
    auto asked = this->client();
    const auto got =
        asked.Post("/once/x?q=1", headers(), "the body", "text/plain");
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(got->body == "answer");
    CHECK(got->get_header_value("X-Response-Signature") == "signed");
    const httplib::Request there = this->received_requests().back();
    CHECK(there.method == "POST");
    CHECK(there.target == "/once/x?q=1");
    CHECK(there.body == "the body");
    CHECK(there.get_header_value("X-Tenant") == "gate");
    CHECK(there.get_header_value("X-Target-Instance") == "i-1");
    CHECK_FALSE(there.has_header("Api-Key"));
    CHECK(std::stoi(there.get_header_value("X-Deadline-Ms")) <= 2000);
}

TEST_CASE_FIXTURE(entry_fixture, "callers_own_system_headers_do_not_pass")
{
    httplib::Headers own = headers();
    own.emplace("X-Tenant", "another");
    own.emplace("Kv-From", "10.0.0.1:80/x");
    own.emplace("Connection", "X-Attempt-Id");
    auto asked = this->client();
    REQUIRE(asked.Get("/again/", own));
    const httplib::Request there = this->received_requests().back();
    CHECK(there.get_header_value_count("X-Tenant") == 1);
    CHECK(there.get_header_value("X-Tenant") == "gate");
    CHECK_FALSE(there.has_header("Kv-From"));
    CHECK(there.get_header_value("X-Attempt-Id") == "a-1");
}

TEST_CASE_FIXTURE(entry_fixture, "unknown_key_and_route_are_told_apart")
{
    httplib::Headers own = headers();
    own.erase("Api-Key");
    auto asked = this->client();
    CHECK(asked.Get("/again/", own)->status == 401);
    CHECK(asked.Get("/nowhere/", headers())->status == 404);
}

// An upstream responds with the late response to another request on the same
// connection. The caller must not get it.
TEST_CASE_FIXTURE(entry_fixture, "answer_to_another_request_is_not_passed_on")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            write_signed_answer(asked, given, "another's");
            given.headers.erase("X-Attempt-Id");
            given.set_header("X-Attempt-Id", "a-0");
        });
    auto asked = this->client();
    const auto got = asked.Post("/once/", headers(), "", "text/plain");
    REQUIRE(got);
    CHECK(got->status == 502);
    CHECK(got->body.find("another's") == std::string::npos);
    CHECK(this->received_requests().size() == 1);
}

TEST_CASE_FIXTURE(entry_fixture, "success_without_signature_is_not_passed_on")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            given.set_header("X-Attempt-Id",
                             asked.get_header_value("X-Attempt-Id"));
            given.set_content("unsigned", "text/plain");
        });
    auto asked = this->client();
    CHECK(asked.Post("/once/", headers(), "", "text/plain")->status == 502);
}

// The only upstream reports that it did not run the request. The caller is told
// so, and when to retry.
TEST_CASE_FIXTURE(entry_fixture, "request_turned_away_is_refused_as_not_run")
{
    this->set_upstream_handler(
        [](const httplib::Request&, httplib::Response& given) {
            given.status = 503;
            given.set_header("X-Not-Executed", "1");
        });
    auto asked = this->client();
    const auto got = asked.Post("/once/", headers(), "", "text/plain");
    REQUIRE(got);
    CHECK(got->status == 503);
    CHECK(got->has_header("Retry-After"));
    CHECK_FALSE(got->has_header("X-Not-Executed"));
}

// An upstream responds with the refusal of another request, which says that it
// did not run that one. Whether it ran this one is unknown, so the caller must
// not be told that a retry is safe.
TEST_CASE_FIXTURE(entry_fixture, "refusal_of_another_request_is_no_promise")
{
    for (const int status : {503, 421}) {
        this->set_upstream_handler(
            [status](const httplib::Request&, httplib::Response& given) {
                given.status = status;
                given.set_header("X-Attempt-Id", "a-0");
                given.set_header("X-Not-Executed", "1");
            });
        auto asked = this->client();
        const auto got = asked.Post("/once/", headers(), "", "text/plain");
        REQUIRE(got);
        CHECK(got->status == 502);
    }
    CHECK(this->received_requests().size() == 2);
}

TEST_CASE_FIXTURE(entry_fixture, "upstreams_own_failure_is_passed_unchanged")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            write_signed_answer(asked, given, "its failure");
            given.status = 500;
        });
    auto asked = this->client();
    const auto got = asked.Post("/once/", headers(), "", "text/plain");
    REQUIRE(got);
    CHECK(got->status == 500);
    CHECK(got->body == "its failure");
    CHECK(got->get_header_value("X-Response-Signature") == "signed");
}

TEST_CASE_FIXTURE(entry_fixture, "stream_is_passed_event_by_event_to_its_end")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            stream_events(asked, given, 1, 20, false);
        });
    auto asked = this->client();
    const auto got = asked.Post("/stream/", headers(), "", "text/plain");
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(got->body == whole_stream(20));
}

// A stream is cut after seven events. It may be resumed, but its only upstream
// was already tried. The response must not look complete to the caller.
TEST_CASE_FIXTURE(entry_fixture,
                  "stream_cut_and_not_resumed_does_not_look_whole")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            stream_events(asked, given, 1, 7, true);
        });
    auto asked = this->client();
    CHECK_FALSE(asked.Post("/stream/", headers(), "", "text/plain"));
}

TEST_CASE_FIXTURE(entry_fixture, "requests_sent_ahead_are_answered_in_order")
{
    this->set_upstream_handler(
        [](const httplib::Request& asked, httplib::Response& given) {
            write_signed_answer(asked, given, "<" + asked.path + ">");
        });
    const std::string rest = " HTTP/1.1\r\nHost: hall.example\r\n"
                             "X-Attempt-Id: a-1\r\nApi-Key: key-1\r\n";
    const std::string got =
        this->send_raw("GET /again/1" + rest + "\r\n" + "GET /again/2" + rest +
                       "Connection: close\r\n\r\n");
    CHECK(got.find("</again/1>") < got.find("</again/2>"));
    CHECK(got.find("</again/2>") != std::string::npos);
}

TEST_CASE_FIXTURE(entry_fixture, "smuggled_request_is_refused_and_not_run")
{
    const std::string got = this->send_raw(
        "POST /once/ HTTP/1.1\r\nHost: hall.example\r\nX-Attempt-Id: a-1\r\n"
        "Api-Key: key-1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        "\r\n0\r\n\r\nGET /again/ HTTP/1.1\r\nHost: hall.example\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 400"));
    CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(this->received_requests().empty());
}

// The entry is stopped during a request. The caller gets the complete response,
// and is told that the connection closes.
TEST_CASE_FIXTURE(entry_fixture, "request_under_way_at_a_stop_is_answered")
{
    this->set_upstream_handler(
        [this](const httplib::Request& asked, httplib::Response& given) {
            this->entry_under_test->stop();
            std::this_thread::sleep_for(200ms);
            write_signed_answer(asked, given, "late but whole");
        });
    auto asked = this->client();
    const auto got = asked.Post("/once/", headers(), "", "text/plain");
    REQUIRE(got);
    CHECK(got->body == "late but whole");
    CHECK(got->get_header_value("Connection") == "close");
}

// The caller closes its connection during a stream. The connection to the
// upstream is closed too, which ends the work there.
TEST_CASE_FIXTURE(entry_fixture, "work_of_a_caller_that_left_is_broken_off")
{
    const auto broken_off = std::make_shared<std::atomic<bool>>(false);
    this->set_upstream_handler([broken_off](const httplib::Request& asked,
                                            httplib::Response& given) {
        given.set_header("X-Attempt-Id",
                         asked.get_header_value("X-Attempt-Id"));
        given.set_header("X-Response-Signature", "signed");
        given.set_chunked_content_provider(
            "text/event-stream",
            [broken_off](std::size_t offset, httplib::DataSink& sink) {
                const std::string text =
                    "id: " + std::to_string(offset + 1) + "\ndata: x\n\n";
                std::this_thread::sleep_for(20ms);
                if (sink.is_writable() && sink.write(text.data(), text.size()))
                    return true;
                *broken_off = true;
                return false;
            });
    });
    {
        relay::asio::io_context context;
        relay::tcp::socket leaver(context);
        leaver.connect(
            relay::tcp_endpoint(this->entry_under_test->caller_address()));
        const std::string text =
            "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\n"
            "X-Attempt-Id: a-1\r\nApi-Key: key-1\r\n"
            "Content-Length: 0\r\n\r\n";
        relay::asio::write(leaver, relay::asio::buffer(text));
        std::array<char, 64> some{};
        leaver.read_some(relay::asio::buffer(some));
    }
    for (int tries = 0; tries < 200 && !*broken_off; ++tries)
        std::this_thread::sleep_for(10ms);
    CHECK(*broken_off);
}

// Guards against sending requests to the upstreams of a data centre that is
// evacuated for maintenance.
TEST_CASE_FIXTURE(entry_fixture,
                  "evacuated_upstream_gets_nothing_until_it_is_back")
{
    const auto status = [this] {
        auto asked = this->client();
        const auto got = asked.Post("/once/", headers(), "x", "text/plain");
        REQUIRE(got);
        return std::pair(got->status, got->has_header("Retry-After"));
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
