// What an entry with little memory does with callers that don't read, with
// callers that send large bodies, and with small urgent requests beside them.
#include <greengagedrum/entry/test/memory_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::counter;

const std::string marks = "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n"
                          "X-Attempt-Id: a-1\r\n";

std::string plain_response(std::size_t bytes)
{
    return marks + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
}

std::string stream_response(std::size_t bytes)
{
    const std::string event = "data: " + std::string(1'000, 'x') + "\n\n";
    std::string out;
    while (out.size() < bytes)
        out += event;
    return marks + "Content-Type: text/event-stream\r\nContent-Length: " +
           std::to_string(out.size()) + "\r\n\r\n" + out;
}

std::string request(const std::string& path, std::size_t bytes)
{
    return memory_fixture::head(path, bytes) + std::string(bytes, 'b');
}

bool starts_with_status(relay::tcp::socket& caller, const char* status)
{
    return memory_fixture::received(caller).starts_with(
        std::string("HTTP/1.1 ") + status);
}

} // namespace

// An upstream that is left unread cuts its response off and keeps its slot.
TEST_CASE_FIXTURE(memory_fixture,
                  "stream_to_caller_that_does_not_read_is_read_from_upstream")
{
    // More than the 256 KiB at which reading pauses without an account.
    this->response = stream_response(700'000);
    this->call(request("/stream/", 10));
    CHECK(this->run_until([&] {
        return this->state.scheduler.in_flight() == 0 &&
               this->upstream_requests == 1;
    }));
    CHECK(this->account.held(memory::kind::responses) > 500'000);
    CHECK(this->counted(counter::memory_responses_ended) == 0);
}

TEST_CASE_FIXTURE(memory_fixture,
                  "callers_that_do_not_read_end_by_size_and_urgent_is_served")
{
    for (const char* path : {"/stream/", "/bulk/"}) {
        this->response = path == std::string("/stream/")
                             ? stream_response(700'000)
                             : plain_response(700'000);
        for (int count = 0; count < 8; ++count)
            this->call(request(path, 10));
        const std::size_t wanted = this->upstream_requests + 8;
        CHECK(this->run_until(
            [&] {
                return this->upstream_requests == wanted &&
                       this->state.scheduler.in_flight() == 0;
            },
            10s));
    }
    CHECK(this->counted(counter::memory_responses_ended) >= 8);
    CHECK(this->account.held() <= this->account.levels().capacity);
    this->response = plain_response(5);
    auto& urgent = this->call(request("/urgent/", 1'000));
    CHECK(this->run_until([&] { return starts_with_status(urgent, "200"); }));
}

// A buffer that doubles as it grows takes the account past its capacity, as
// does a response that is held twice while it is delivered.
TEST_CASE_FIXTURE(memory_fixture,
                  "unread_response_that_fits_below_last_level_stays_below_it")
{
    const std::size_t size = 700'000;
    memory::reservation others(this->state.memory, memory::kind::gossip);
    others.resize(this->account.levels().end_response - size - 50'000);
    for (const char* path : {"/stream/", "/bulk/"}) {
        CAPTURE(path);
        this->response = path == std::string("/stream/") ? stream_response(size)
                                                         : plain_response(size);
        auto& caller = this->call(request(path, 10));
        std::uint64_t most_held = 0;
        // Without a tick, so that no response is ended.
        for (int turn = 0; turn < 200; ++turn) {
            this->context.run_one_for(1ms);
            most_held = std::max(most_held, this->account.held());
        }
        CHECK(this->account.held(memory::kind::responses) > size / 2);
        CHECK(most_held <= this->account.levels().end_response);
        caller.close();
        CHECK(this->run_until(
            [&] { return this->account.held(memory::kind::responses) == 0; }));
    }
}

// Callers that announce bodies and send nothing hold room for a second.
TEST_CASE_FIXTURE(memory_fixture,
                  "unsent_bodies_give_their_room_to_a_body_that_waits")
{
    this->response = plain_response(5);
    const std::size_t large = 200'000;
    for (int count = 0; count < 20; ++count)
        this->call(head("/bulk/", large));
    this->run_for(200ms);
    CHECK(this->account.held(memory::kind::request_bodies) <=
          this->account.levels().workspace_share);
    auto& urgent = this->call(request("/urgent/", 1'000));
    CHECK(this->run_until([&] { return starts_with_status(urgent, "200"); },
                          500ms));
    this->run_for(2500ms);
    auto& late = this->call(request("/bulk/", large));
    CHECK(this->run_until([&] { return starts_with_status(late, "200"); }));
    CHECK(this->counted(counter::memory_rejections) == 20);
    CHECK(this->account.held(memory::kind::request_bodies) == 0);
}

// Once a request was sent, "not run" might not be true.
TEST_CASE_FIXTURE(memory_fixture,
                  "queued_requests_are_rejected_largest_and_least_urgent_first")
{
    for (int count = 0; count < 4; ++count)
        this->call(request("/urgent/", 10));
    CHECK(this->run_until([&] { return this->upstream_requests == 4; }));
    auto& urgent = this->call(request("/urgent/", 60'000));
    auto& smaller = this->call(request("/bulk/", 30'000));
    auto& larger = this->call(request("/bulk/", 50'000));
    CHECK(
        this->run_until([&] { return this->state.scheduler.waiting() == 3; }));
    this->run_for(100ms); // the buffers of connections are counted by then
    // Above the level by less than the larger one.
    memory::reservation filler(this->state.memory, memory::kind::gossip);
    filler.resize(this->account.levels().reject - this->account.held() +
                  40'000);
    this->run_for(100ms);
    const std::string told = received(larger);
    CHECK(told.starts_with("HTTP/1.1 503"));
    CHECK(told.find("Retry-After: ") != std::string::npos);
    CHECK(received(smaller).empty());
    filler.resize(this->account.levels().reject + 1);
    this->run_for(100ms);
    CHECK(starts_with_status(smaller, "503"));
    CHECK(starts_with_status(urgent, "503"));
    CHECK(this->counted(counter::memory_rejections) == 3);
    CHECK(this->upstream_requests == 4);
    CHECK(this->state.scheduler.in_flight() == 4);
}

// The caller gets nothing of a body that is longer than the share, nor does
// the entry read it.
TEST_CASE_FIXTURE(
    memory_fixture,
    "body_above_share_is_rejected_with_503_and_above_limit_with_413")
{
    auto& above_share = this->call(head("/urgent/", 1'000'000));
    auto& above_limit = this->call(head("/urgent/", 5'000'000));
    this->run_for(100ms);
    CHECK(starts_with_status(above_share, "503"));
    CHECK(starts_with_status(above_limit, "413"));
    CHECK(this->account.held(memory::kind::request_bodies) == 0);
}

// A count that isn't given back would starve the entry.
TEST_CASE_FIXTURE(memory_fixture,
                  "callers_that_leave_at_any_point_leave_no_bytes")
{
    const std::uint64_t before = this->account.held();
    std::vector<relay::tcp::socket*> leaving;
    for (int count = 0; count < 6; ++count) {
        leaving.push_back(&this->call(request("/stream/", 60'000)));
        leaving.push_back(&this->call(head("/stream/", 200'000) + "part"));
    }
    this->run_for(200ms);
    CHECK(this->account.held(memory::kind::request_bodies) > 6 * 60'000);
    for (relay::tcp::socket* one : leaving)
        one->close();
    CHECK(this->run_until([&] { return this->account.held() == before; }));
}

// An entry short of memory stops reading, and takes the upstream for silent.
TEST_CASE_FIXTURE(memory_fixture,
                  "upstream_left_unread_for_memory_is_not_suspected")
{
    this->response = marks + "Content-Type: text/event-stream\r\n"
                             "Content-Length: 100000\r\n\r\n"
                             "data: 1\n\n";
    this->run_for(20ms);
    memory::reservation others(this->state.memory, memory::kind::gossip);
    others.resize(this->account.levels().end_response + 10'000);
    auto& caller = this->call(memory_fixture::head("/stream/", 0));
    REQUIRE(this->run_until([&] {
        return memory_fixture::received(caller).find("data: 1") !=
               std::string::npos;
    }));
    REQUIRE(this->healthy_slots() == 4);
    this->run_for(1500ms);
    REQUIRE(this->state.scheduler.in_flight() == 1);
    CHECK(this->healthy_slots() == 4);
}

// Responses that others leave no room for count as failures of the upstream.
TEST_CASE_FIXTURE(memory_fixture,
                  "upstream_of_responses_ended_for_memory_is_not_suspected")
{
    this->response =
        marks + "Content-Length: 700000\r\n\r\n" + std::string(100'000, 'x');
    memory::reservation others(this->state.memory, memory::kind::gossip);
    for (int count = 0; count < 5; ++count) {
        others.resize(0);
        auto& caller = this->call(request("/bulk/", 10));
        REQUIRE(this->run_until([&] {
            return this->account.held(memory::kind::responses) >= 100'000;
        }));
        others.resize(this->account.levels().end_response);
        REQUIRE(
            this->run_until([&] { return starts_with_status(caller, "502"); }));
    }
    CHECK(this->counted(counter::memory_responses_ended) == 5);
    CHECK(this->healthy_slots() == 4);
}

} // namespace greengagedrum::entry
