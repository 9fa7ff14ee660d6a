// An entry that is stopped: what it takes, refuses and answers until its end.
#include <greengagedrum/entry/test/entry_fixture.hpp>

#include <boost/asio/read.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

std::string request_text(const std::string& target, int number)
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: hall.example\r\nApi-Key: key-1\r\n"
           "X-Attempt-Id: a-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

// Connections of callers to an entry whose upstream takes `upstream_time`.
struct stop_fixture {
    std::atomic<std::chrono::milliseconds> upstream_time{1800ms};
    entry_fixture fixture;
    relay::asio::io_context context;

    explicit stop_fixture(const fixture_options& options = {})
        : fixture(options)
    {
        this->fixture.set_upstream_handler(
            [this](const httplib::Request& request,
                   httplib::Response& response) {
                std::this_thread::sleep_for(this->upstream_time.load());
                entry_fixture::write_signed_answer(request, response, "answer");
            });
    }

    relay::tcp::socket connect()
    {
        relay::tcp::socket out(this->context);
        out.connect(relay::tcp_endpoint(
            this->fixture.entry_under_test->caller_address()));
        return out;
    }

    static void write(relay::tcp::socket& to, const std::string& bytes)
    {
        relay::asio::write(to, relay::asio::buffer(bytes));
    }

    // What a caller is sent until its connection closes or the time is over.
    std::string read_all(relay::tcp::socket& from,
                         relay::error_code* end = nullptr)
    {
        std::string out;
        relay::asio::async_read(from,
                                relay::asio::dynamic_buffer(out),
                                [end](relay::error_code fault, std::size_t) {
                                    if (end != nullptr)
                                        *end = fault;
                                });
        this->context.restart();
        this->context.run_for(2s);
        relay::error_code ignored;
        from.close(ignored);
        this->context.restart();
        this->context.run();
        return out;
    }

    // Without an answer of its kind the estimate refuses a request, whatever
    // the phase.
    void serve_quickly(const std::string& target)
    {
        const auto usual = this->upstream_time.exchange(0ms);
        relay::tcp::socket caller = this->connect();
        std::string request = request_text(target, 0);
        request.insert(request.find("\r\n\r\n"), "\r\nConnection: close");
        write(caller, request);
        CHECK(this->read_all(caller).starts_with("HTTP/1.1 200"));
        this->upstream_time = usual;
    }

    // The status of the readiness; 0 once the entry has exited.
    int probe() const
    {
        const base::ip_endpoint address =
            this->fixture.entry_under_test->readiness_address();
        httplib::Client client(address.ip, address.port);
        client.set_read_timeout(200ms);
        const auto response = client.Get("/");
        return response ? response->status : 0;
    }

    void stop() { this->fixture.entry_under_test->stop(); }
};

// Where memory is accounted for, a response is read from its upstream though
// its caller doesn't read.
struct limited_memory_stop_fixture : stop_fixture {
    limited_memory_stop_fixture() : stop_fixture(options()) {}

    static fixture_options options()
    {
        fixture_options out;
        out.memory_bytes = std::uint64_t{1} << 30U;
        return out;
    }
};

// The event loop can be held up.
struct busy_loop_stop_fixture : stop_fixture {
    static constexpr auto held_time = 350ms;

    struct loop_hold {
        std::atomic<bool> asked = false;
        std::atomic<bool> begun = false;
    };
    std::shared_ptr<loop_hold> hold;

    busy_loop_stop_fixture()
        : busy_loop_stop_fixture(std::make_shared<loop_hold>())
    {
    }

    explicit busy_loop_stop_fixture(const std::shared_ptr<loop_hold>& hold)
        : stop_fixture(options(hold)), hold(hold)
    {
    }

    static fixture_options options(const std::shared_ptr<loop_hold>& hold)
    {
        fixture_options out;
        out.load_settings = [hold]() -> std::optional<settings> {
            if (hold->asked.exchange(false)) {
                hold->begun = true;
                std::this_thread::sleep_for(held_time);
            }
            return std::nullopt;
        };
        return out;
    }

    void hold_loop()
    {
        this->hold->asked = true;
        while (!this->hold->begun)
            std::this_thread::sleep_for(1ms);
    }
};

struct longer_timeout_stop_fixture : stop_fixture {
    longer_timeout_stop_fixture() : stop_fixture(options()) {}

    static fixture_options options()
    {
        fixture_options out;
        out.stop_timeout = 4s;
        return out;
    }
};

struct usual_timeout_stop_fixture : stop_fixture {
    usual_timeout_stop_fixture() : stop_fixture(options()) {}

    static fixture_options options()
    {
        fixture_options out;
        out.stop_timeout = 8s;
        return out;
    }
};

// The settings can be given another timeout, which the entry reads within a
// second.
struct changed_timeout_stop_fixture : stop_fixture {
    using chosen_timeout = std::atomic<std::chrono::milliseconds>;
    std::shared_ptr<chosen_timeout> chosen;

    changed_timeout_stop_fixture()
        : changed_timeout_stop_fixture(std::make_shared<chosen_timeout>(0ms))
    {
    }

    explicit changed_timeout_stop_fixture(
        const std::shared_ptr<chosen_timeout>& chosen)
        : stop_fixture(options(chosen)), chosen(chosen)
    {
    }

    static fixture_options
    options(const std::shared_ptr<chosen_timeout>& chosen)
    {
        fixture_options out;
        out.stop_timeout = 8s;
        out.load_settings = [chosen]() -> std::optional<settings> {
            const auto timeout = chosen->exchange(0ms);
            if (timeout == 0ms)
                return std::nullopt;
            settings changed;
            changed.bounds.stop_timeout = timeout;
            return changed;
        };
        return out;
    }
};

bool is_refusal(const std::string& response)
{
    return response.starts_with("HTTP/1.1 503") &&
           response.find("Retry-After: ") != std::string::npos &&
           response.find("Connection: close") != std::string::npos;
}

} // namespace

// A request is taken so late that its answer is cut by the end of the process.
TEST_CASE_FIXTURE(stop_fixture,
                  "request_read_late_in_a_stop_is_refused_as_not_run")
{
    this->serve_quickly("/once/");
    relay::tcp::socket caller = this->connect();
    const std::string request = request_text("/once/", 1);
    write(caller, request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(50ms);
    this->stop();
    std::this_thread::sleep_for(450ms);
    write(caller, request.substr(request.size() / 2));
    CHECK(is_refusal(this->read_all(caller)));
    CHECK(this->fixture.received_requests().size() == 1);
}

// The bound counts from the notice of a signal that the loop was late to see.
TEST_CASE_FIXTURE(busy_loop_stop_fixture,
                  "request_after_a_signal_noticed_late_is_refused_as_not_run")
{
    this->serve_quickly("/once/");
    this->upstream_time = 0ms;
    relay::tcp::socket caller = this->connect();
    const std::string request = request_text("/once/", 1);
    write(caller, request.substr(0, request.size() / 2));
    this->hold_loop();
    this->stop();
    std::this_thread::sleep_for(held_time + 20ms);
    write(caller, request.substr(request.size() / 2));
    CHECK(is_refusal(this->read_all(caller)));
    CHECK(this->fixture.received_requests().size() == 1);
}

// Requests are taken although the balancer has stopped sending.
TEST_CASE_FIXTURE(usual_timeout_stop_fixture,
                  "requests_after_two_negative_probes_are_refused_as_not_run")
{
    this->serve_quickly("/once/");
    this->upstream_time = 0ms;
    relay::tcp::socket earlier = this->connect();
    const std::string request = request_text("/once/", 1);
    write(earlier, request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(50ms);
    this->stop();
    CHECK(this->probe() == 503);
    std::this_thread::sleep_for(600ms);
    CHECK(this->probe() == 503);
    std::this_thread::sleep_for(600ms);
    relay::tcp::socket later = this->connect();
    write(earlier, request.substr(request.size() / 2));
    write(later, request_text("/once/", 2));
    CHECK(is_refusal(this->read_all(earlier)));
    CHECK(is_refusal(this->read_all(later)));
    CHECK(this->fixture.received_requests().size() == 1);
}

// The end of the process drops requests that still wait for a slot.
TEST_CASE_FIXTURE(stop_fixture,
                  "requests_waiting_at_the_end_of_a_stop_are_refused")
{
    constexpr int count = 9;
    constexpr int slots = 5;
    this->serve_quickly("/again/");
    std::vector<relay::tcp::socket> callers;
    for (int number = 0; number < count; ++number) {
        callers.push_back(this->connect());
        write(callers.back(), request_text("/again/", number));
    }
    std::this_thread::sleep_for(100ms);
    this->stop();
    std::this_thread::sleep_for(400ms);
    for (const relay::tcp::socket& one : callers)
        CHECK(one.available() == 0);
    std::vector<std::string> responses;
    for (relay::tcp::socket& one : callers)
        responses.push_back(this->read_all(one));
    CHECK(std::count_if(responses.begin(), responses.end(), is_refusal) ==
          count - slots);
    CHECK(this->fixture.received_requests().size() == 1 + slots);
}

// The exit cuts the only run that a request may have, with time left.
TEST_CASE_FIXTURE(longer_timeout_stop_fixture,
                  "request_run_once_without_caller_is_waited_for")
{
    this->upstream_time = 2500ms;
    relay::tcp::socket caller = this->connect();
    write(caller, request_text("/once/", 1));
    std::this_thread::sleep_for(100ms);
    caller.close();
    std::this_thread::sleep_for(50ms);
    this->stop();
    std::this_thread::sleep_for(2000ms);
    CHECK(this->probe() == 503);
    std::this_thread::sleep_for(700ms);
    CHECK(this->probe() == 0);
}

// The end of the process cuts a running request without a final answer.
TEST_CASE_FIXTURE(stop_fixture,
                  "request_running_at_the_end_of_a_stop_gets_a_final_answer")
{
    relay::tcp::socket caller = this->connect();
    write(caller, request_text("/once/", 1));
    std::this_thread::sleep_for(50ms);
    this->stop();
    const std::string response = this->read_all(caller);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("stopping") != std::string::npos);
}

// A timeout that is shortened after the signal kills the process with requests
// under way.
TEST_CASE_FIXTURE(changed_timeout_stop_fixture,
                  "request_running_at_a_shortened_end_gets_a_final_answer")
{
    relay::tcp::socket caller = this->connect();
    write(caller, request_text("/once/", 1));
    std::this_thread::sleep_for(50ms);
    this->stop();
    std::this_thread::sleep_for(50ms);
    *this->chosen = 1000ms;
    const std::string response = this->read_all(caller);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("stopping") != std::string::npos);
}

// Only the end of its connection ends such a stream, so that one cut by the end
// of the process would look whole.
TEST_CASE_FIXTURE(limited_memory_stop_fixture,
                  "stream_without_framing_cut_by_the_end_of_a_stop_is_reset")
{
    this->fixture.set_upstream_handler([](const httplib::Request& request,
                                          httplib::Response& response) {
        const std::string event = "data: " + std::string(60'000, 'x') + "\n\n";
        std::string events;
        for (int count = 0; count < 200; ++count)
            events += event;
        entry_fixture::write_signed_answer(request, response, "");
        response.set_content(events, "text/event-stream");
    });
    relay::tcp::socket caller = this->connect();
    std::string request = request_text("/stream/", 1);
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    write(caller, request);
    std::this_thread::sleep_for(300ms);
    this->stop();
    std::this_thread::sleep_for(1500ms);
    relay::error_code end;
    CHECK_FALSE(this->read_all(caller, &end).empty());
    CHECK(end == relay::asio::error::connection_reset);
}

// The end of the process drops a request whose body is not read whole.
TEST_CASE_FIXTURE(stop_fixture,
                  "request_read_in_part_at_the_end_of_a_stop_is_refused")
{
    relay::tcp::socket caller = this->connect();
    const std::string request = request_text("/once/", 1);
    write(caller, request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(50ms);
    this->stop();
    CHECK(is_refusal(this->read_all(caller)));
}

} // namespace greengagedrum::entry
