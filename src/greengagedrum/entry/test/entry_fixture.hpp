// A complete entry over loopback, with fake servers for the store and for an
// upstream whose responses the test sets.
#pragma once

#include <greengagedrum/entry/entry.hpp>

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::entry
{

// An HTTP server on a free port.
class fake_http_server
{
public:
    fake_http_server();
    ~fake_http_server();
    fake_http_server(const fake_http_server&) = delete;
    fake_http_server& operator=(const fake_http_server&) = delete;

    httplib::Server server;
    int port = 0;

    void start();
    void stop();

private:
    std::thread thread;
};

// Settings in which a test may differ from the default.
struct fixture_options {
    double limit_per_second = 0; // limit of the workspace, in tokens; 0: none
    std::uint16_t peer_port = 0; // 0: any
    std::vector<base::ip_endpoint> seeds{};
    // Servers of the test that replace the fixture's upstream.
    std::vector<int> upstream_ports{};
    // Their versions by position; "v1" for those without one here.
    std::vector<std::string> upstream_versions{};
    double retry_slack = 0; // retries that need not be earned
    unsigned stream_attempts = 2;
    std::string ip = "127.0.0.1";
    std::uint64_t memory_bytes = 0; // 0: not limited
    bool keeps_connections = false;
    base::duration stop_timeout = std::chrono::seconds(1);
    // Called on the entry's event loop.
    entry::settings_loader load_settings = [] { return std::nullopt; };
};

class entry_fixture
{
public:
    explicit entry_fixture(const fixture_options& options = {});
    ~entry_fixture();
    entry_fixture(const entry_fixture&) = delete;
    entry_fixture& operator=(const entry_fixture&) = delete;

    using handler =
        std::function<void(const httplib::Request&, httplib::Response&)>;

    // Sets what the upstream does with a request. The default is a signed
    // response.
    void set_upstream_handler(handler chosen);

    static void write_signed_answer(const httplib::Request& request,
                                    httplib::Response& response,
                                    const std::string& body);

    // Headers of a valid request.
    static httplib::Headers headers();

    httplib::Client client() const;
    // Returns everything that the caller is sent until its connection closes.
    // `end`: how it closed.
    std::string send_raw(const std::string& bytes,
                         relay::error_code* end = nullptr) const;

    std::vector<httplib::Request> received_requests() const;

    // Starts or ends the evacuation of the data centre.
    void set_evacuated(bool evacuated);

    // Publishes an upstream; only the latest event is kept.
    void publish_upstream(
        const std::string& name,
        int port,
        const std::string& version,
        std::optional<std::uint64_t> started_unix_ms = std::nullopt);

    enum class store_mode : std::uint8_t {
        normal,
        watches_lag, // watches that wait tell nothing new
        silent
    };
    void set_store_mode(store_mode chosen);

    std::unique_ptr<entry> entry_under_test;

private:
    void publish(const fixture_options& options);
    void answer_watch(const httplib::Request& request,
                      httplib::Response& response);
    void wait_until_configured() const;

    // Declared before the servers, whose threads use the mutex and the data.
    // Handlers lock the mutex first and last: the thread sanitizer can't see
    // the ordering that sockets and the HTTP library provide, so the mutex
    // orders the handlers after the test's own steps.
    mutable std::mutex mutex;
    std::vector<httplib::Request> requests;
    int store_revision = 2;
    std::string store_events; // as JSON, for watches behind store_revision
    store_mode mode = store_mode::normal;
    handler upstream_handler = [](const httplib::Request& request,
                                  httplib::Response& response) {
        write_signed_answer(request, response, "answer");
    };
    fake_http_server store_server;
    fake_http_server upstream_server;
    std::thread thread;
};

} // namespace greengagedrum::entry
