// Streams that callers take up at an entry whose view of the store is old.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/raw_upstream.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

// Longer than records of streams are kept, after which an entry has a history.
constexpr auto history_time = 31s;

std::string stream_rest(const std::string& /* head */)
{
    return "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: 14\n\n";
}

// An entry that has long known upstreams of one version.
struct out_of_step_entry_fixture {
    raw_upstream upstream{stream_rest};
    raw_upstream newer_upstream{stream_rest};
    entry_fixture fixture{options_for(this->upstream.port())};
    int next_stream = 1;

    static fixture_options options_for(int port)
    {
        fixture_options out;
        out.upstream_ports = {port};
        return out;
    }

    // Each time another stream, of which no entry has a record.
    int resume()
    {
        httplib::Headers headers = entry_fixture::headers();
        headers.erase("X-Attempt-Id");
        headers.emplace("X-Attempt-Id",
                        "resumes-" + std::to_string(this->next_stream++));
        headers.emplace("Last-Event-Id", "1");
        const auto response =
            this->fixture.client().Post("/stream/", headers, "", "text/plain");
        REQUIRE(response);
        return response->status;
    }
};

} // namespace

// Guards against a stream that goes on at another version, since the entry has
// not read of the version that began it. One case, for the time that a history
// takes.
TEST_CASE_FIXTURE(out_of_step_entry_fixture,
                  "stream_taken_up_beside_release_not_read_yet_refused")
{
    CHECK(this->resume() == 503); // no history yet
    std::this_thread::sleep_for(history_time);
    CHECK(this->resume() == 200);
    this->fixture.set_store_mode(entry_fixture::store_mode::silent);
    CHECK(this->resume() == 503);
    this->fixture.set_store_mode(entry_fixture::store_mode::normal);
    std::this_thread::sleep_for(2s);
    CHECK(this->resume() == 200);
    this->fixture.set_store_mode(entry_fixture::store_mode::watches_lag);
    std::this_thread::sleep_for(100ms);
    this->fixture.publish_upstream("i-9", this->newer_upstream.port(), "v2");
    CHECK(this->resume() == 503);
    CHECK(this->upstream.request_count() == 2);
    CHECK(this->newer_upstream.request_count() == 0);
}

} // namespace greengagedrum::entry
