// Streams that callers take up at an entry whose service has upstreams of two
// versions.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
namespace asio = relay::asio;

std::uint16_t free_datagram_port()
{
    asio::io_context context;
    const relay::udp::socket probe(
        context, relay::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

struct resumed_stream_fixture {
    resumed_stream_fixture()
        : first([this](const std::string& head) { return this->answer(head); }),
          second(
              [this](const std::string& head) { return this->answer(head); }),
          fixture(this->options())
    {
    }

    fixture_options options() const
    {
        fixture_options out;
        out.upstream_ports = {this->first.port(), this->second.port()};
        out.upstream_versions = {"v1", "v1.1"};
        out.peer_port = this->peer_port;
        return out;
    }

    std::string answer(const std::string& head)
    {
        const std::lock_guard lock(this->mutex);
        this->last_head = head;
        return "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: 14\n\n";
    }

    std::string last_request_head()
    {
        const std::lock_guard lock(this->mutex);
        return this->last_head;
    }

    // As another entry would send it.
    void send_record(const std::string& attempt,
                     const std::string& version) const
    {
        const auto to = asio::ip::address_v4::loopback();
        const std::string bytes = gossip::encode(
            {0x7f000009,
             versions::record_list{
                 {versions::stream_id(attempt),
                  routing::service_version_id("models", version)}}},
            to.to_uint());
        asio::io_context context;
        relay::udp::socket socket(context, relay::udp::v4());
        socket.send_to(asio::buffer(bytes),
                       relay::udp::endpoint(to, this->peer_port));
        std::this_thread::sleep_for(50ms);
    }

    httplib::Result resume(const std::string& path,
                           const std::string& begun_by) const
    {
        httplib::Headers headers = entry_fixture::headers();
        headers.emplace("Last-Event-Id", "1");
        if (!begun_by.empty())
            headers.emplace("Resumes", begun_by);
        return this->fixture.client().Post(path, headers, "", "text/plain");
    }

    void check_refused(const httplib::Result& response) const
    {
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->get_header_value("Retry-After") == "0.20");
        CHECK(response->body.find("stream_version_unknown") !=
              std::string::npos);
        CHECK(this->first.request_count() + this->second.request_count() == 0);
    }

    std::uint16_t peer_port = free_datagram_port();
    std::mutex mutex;
    std::string last_head;
    raw_upstream first;
    raw_upstream second;
    entry_fixture fixture;
};

} // namespace

// Failure guarded against: the rest of a stream is written by another version.
TEST_CASE_FIXTURE(resumed_stream_fixture,
                  "resumed_stream_with_record_sent_to_its_version_only")
{
    this->send_record("first-1", "v1.1");
    constexpr int tries = 8;
    for (int one = 0; one < tries; ++one) {
        const auto response = this->resume("/stream/", "first-1");
        REQUIRE(response);
        CHECK(response->status == 200);
    }
    CHECK(this->first.request_count() == 0);
    CHECK(this->second.request_count() == tries);
    const std::string head = this->last_request_head();
    CHECK(head.find("Resumes: first-1\r\n") != std::string::npos);
    CHECK(head.find("Last-Event-Id: 1\r\n") != std::string::npos);
}

TEST_CASE_FIXTURE(resumed_stream_fixture,
                  "resumed_stream_without_record_refused_as_not_run")
{
    this->send_record("first-1", "v1.1");
    this->check_refused(this->resume("/stream/", "first-2"));
}

TEST_CASE_FIXTURE(resumed_stream_fixture,
                  "resumed_stream_that_names_no_try_refused_as_not_run")
{
    this->check_refused(this->resume("/stream/", ""));
}

// Failure guarded against: an entry that has just started goes on with a stream
// of a version that has left.
TEST_CASE_FIXTURE(entry_fixture,
                  "resumed_stream_that_names_no_try_refused_after_a_start")
{
    httplib::Headers headers = entry_fixture::headers();
    headers.emplace("Last-Event-Id", "1");
    const auto response =
        this->client().Post("/stream/", headers, "", "text/plain");
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK(response->body.find("stream_version_unknown") != std::string::npos);
    CHECK(this->received_requests().empty());
}

TEST_CASE_FIXTURE(resumed_stream_fixture,
                  "request_of_another_route_not_concerned")
{
    const auto response = this->resume("/once/", "first-1");
    REQUIRE(response);
    CHECK(response->status == 200);
}

TEST_CASE_FIXTURE(resumed_stream_fixture,
                  "stream_begun_here_resumed_at_its_version_only")
{
    const auto begun = this->fixture.client().Post(
        "/stream/", entry_fixture::headers(), "", "text/plain");
    REQUIRE(begun);
    CHECK(begun->status == 200);
    const bool at_first = this->first.request_count() == 1;
    constexpr int tries = 8;
    for (int one = 0; one < tries; ++one)
        CHECK(this->resume("/stream/", "a-1")->status == 200);
    CHECK(this->first.request_count() == (at_first ? tries + 1 : 0));
    CHECK(this->second.request_count() == (at_first ? 0 : tries + 1));
}

namespace
{

// Another entry, as far as the one under test can tell.
class fake_peer
{
public:
    explicit fake_peer(std::uint16_t port)
        : socket(this->context, {asio::ip::make_address_v4(address), port}),
          entry_under_test(asio::ip::address_v4::loopback(), port)
    {
    }

    // It is known for a second from now on.
    void announce()
    {
        gossip::message out;
        out.instance = "entry-9";
        out.data_centre = "hall";
        out.address = this->socket.local_endpoint().address().to_v4().to_uint();
        out.incarnation = base::incarnation{1};
        out.sequence = ++this->sequence;
        this->send(gossip::encode(out));
        std::this_thread::sleep_for(50ms);
    }

    versions::question receive_question()
    {
        alignas(std::uint64_t) std::array<char, 2048> buffer{};
        while (true) {
            const std::size_t count =
                this->socket.receive(asio::buffer(buffer));
            const auto read =
                gossip::decode_stream_version_message({buffer.data(), count});
            if (read)
                return std::get<versions::question>(read->content);
        }
    }

    void answer(const versions::question& asked, const std::string& version)
    {
        this->send(gossip::encode(
            {this->socket.local_endpoint().address().to_v4().to_uint(),
             versions::answer{
                 asked.lookup,
                 versions::known_version{
                     routing::service_version_id("models", version)}}},
            this->entry_under_test.address().to_v4().to_uint()));
    }

private:
    static constexpr const char* address = "127.0.0.9";

    void send(const std::string& bytes)
    {
        this->socket.send_to(asio::buffer(bytes), this->entry_under_test);
    }

    asio::io_context context;
    relay::udp::socket socket;
    relay::udp::endpoint entry_under_test;
    std::uint64_t sequence = 0;
};

struct asked_peer_fixture : resumed_stream_fixture {
    fake_peer peer{this->peer_port};

    // A caller that sends a request and doesn't wait for the response.
    void send_and_leave()
    {
        asio::io_context context;
        relay::tcp::socket caller(context);
        caller.connect(relay::tcp_endpoint(
            this->fixture.entry_under_test->caller_address()));
        asio::write(caller,
                    asio::buffer(std::string(
                        "POST /stream/ HTTP/1.1\r\nHost: hall.example\r\n"
                        "Api-Key: key-1\r\nX-Attempt-Id: a-2\r\n"
                        "X-Deadline-Ms: 2000\r\nLast-Event-Id: 1\r\n"
                        "Resumes: first-1\r\nContent-Length: 0\r\n\r\n")));
        this->asked = this->peer.receive_question();
    }

    versions::question asked;
};

} // namespace

// Failure guarded against: a caller waits for an entry that has just died.
TEST_CASE_FIXTURE(asked_peer_fixture,
                  "silent_peer_asked_twice_then_stream_refused")
{
    this->peer.announce();
    const auto begun = std::chrono::steady_clock::now();
    this->check_refused(this->resume("/stream/", "first-1"));
    const auto took = std::chrono::steady_clock::now() - begun;
    CHECK(took >= 150ms);
    CHECK(took < 1s);
    const versions::question asked = this->peer.receive_question();
    CHECK(asked.stream == versions::stream_id("first-1"));
    CHECK(this->peer.receive_question() == asked);
}

// Failure guarded against: an upstream runs a request that nobody waits for.
TEST_CASE_FIXTURE(asked_peer_fixture,
                  "caller_left_during_lookup_no_upstream_reached")
{
    this->peer.announce();
    this->send_and_leave();
    std::this_thread::sleep_for(20ms);
    this->peer.answer(this->asked, "v1.1");
    std::this_thread::sleep_for(100ms);
    CHECK(this->first.request_count() + this->second.request_count() == 0);
    // The answer itself is kept.
    CHECK(this->resume("/stream/", "first-1")->status == 200);
    CHECK(this->second.request_count() == 1);
}

namespace
{

// Two entries that know each other, and the same upstreams.
struct two_entries_fixture {
    static constexpr int max_tries = 100;

    two_entries_fixture()
        : first(answer), second(answer), other(this->options_of("127.0.0.3")),
          begun_at(
              std::make_unique<entry_fixture>(this->options_of("127.0.0.2")))
    {
    }

    static std::string answer(const std::string& /* head */)
    {
        return "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 7\n\n";
    }

    fixture_options options_of(const std::string& ip) const
    {
        fixture_options out;
        out.ip = ip;
        out.peer_port = this->peer_port;
        out.seeds = {{"127.0.0.2", this->peer_port},
                     {"127.0.0.3", this->peer_port}};
        out.upstream_ports = {this->first.port(), this->second.port()};
        out.upstream_versions = {"v1", "v1.1"};
        return out;
    }

    static int post(const entry_fixture& to,
                    const std::string& attempt,
                    const std::string& begun_by = {})
    {
        httplib::Headers headers = entry_fixture::headers();
        headers.erase("X-Attempt-Id");
        headers.emplace("X-Attempt-Id", attempt);
        if (!begun_by.empty()) {
            headers.emplace("Last-Event-Id", "1");
            headers.emplace("Resumes", begun_by);
        }
        const auto response =
            to.client().Post("/stream/", headers, "", "text/plain");
        return response ? response->status : 0;
    }

    // Begins streams until the entries have found each other; returns the
    // attempt of the first one that the other entry knows.
    std::string begin_stream()
    {
        for (int tries = 0; tries < max_tries; ++tries) {
            std::string attempt = "begun-" + std::to_string(tries);
            this->at_first = this->first.request_count();
            CHECK(post(*this->begun_at, attempt) == 200);
            this->at_first = this->first.request_count() - this->at_first;
            std::this_thread::sleep_for(50ms);
            if (post(this->other, "probe", attempt) == 200)
                return attempt;
        }
        FAIL("the record did not reach the other entry");
        return {};
    }

    std::uint16_t peer_port = free_datagram_port();
    raw_upstream first;
    raw_upstream second;
    entry_fixture other;
    std::unique_ptr<entry_fixture> begun_at; // where streams begin
    int at_first = 0; // 1: the last stream began at the first upstream
};

} // namespace

// Failure guarded against: the entry that knows the version is gone.
TEST_CASE_FIXTURE(two_entries_fixture,
                  "stream_begun_at_lost_entry_resumed_at_its_version_only")
{
    const std::string attempt = this->begin_stream();
    this->begun_at.reset();
    const int first_before = this->first.request_count();
    const int second_before = this->second.request_count();
    constexpr int tries = 8;
    for (int one = 0; one < tries; ++one)
        CHECK(post(this->other, "again-" + std::to_string(one), attempt) ==
              200);
    CHECK(this->first.request_count() - first_before == tries * this->at_first);
    CHECK(this->second.request_count() - second_before ==
          tries * (1 - this->at_first));
}

// An entry that has no record itself asks the one that has it.
TEST_CASE_FIXTURE(two_entries_fixture,
                  "entry_without_record_asks_the_one_that_has_it")
{
    const std::string attempt = this->begin_stream();
    this->begun_at.reset();
    this->begun_at =
        std::make_unique<entry_fixture>(this->options_of("127.0.0.2"));
    int status = 0;
    for (int tries = 0; tries < max_tries && status != 200; ++tries) {
        status = post(*this->begun_at, "again", attempt);
        std::this_thread::sleep_for(20ms);
    }
    CHECK(status == 200);
    CHECK(post(*this->begun_at, "again", "unknown") == 503);
}

} // namespace greengagedrum::entry
