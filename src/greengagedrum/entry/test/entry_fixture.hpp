// One whole entry over loopback, with stand-ins of the store and of an
// upstream that answers as the test says.
#pragma once

#include <greengagedrum/entry/entry.hpp>

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::entry
{

// An HTTP stand-in on a port of the kernel's choice.
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

// What a test may want of the entry beside the usual.
struct fixture_options {
    double limit_per_second = 0; // of the workspace, in tokens; 0: none
    std::uint16_t peer_port = 0; // 0: any
    std::vector<base::ip_endpoint> seeds{};
    std::vector<int> upstream_ports{}; // of the test's own, in place of ours
};

class entry_fixture
{
public:
    explicit entry_fixture(const fixture_options& wanted = {});
    ~entry_fixture();
    entry_fixture(const entry_fixture&) = delete;
    entry_fixture& operator=(const entry_fixture&) = delete;

    using handler =
        std::function<void(const httplib::Request&, httplib::Response&)>;

    // What the upstream does with a request; a signed answer, if not said.
    void set_upstream_handler(handler what);

    static void write_signed_answer(const httplib::Request& asked,
                                    httplib::Response& given,
                                    const std::string& body);

    // Headers of a proper request.
    static httplib::Headers headers();

    httplib::Client client() const;
    // Everything that the caller is sent until its connection closes.
    std::string send_raw(const std::string& bytes) const;

    std::vector<httplib::Request> received_requests() const;

    // The operator evacuates the data centre, or takes it back.
    void set_evacuated(bool evacuated);

    std::unique_ptr<entry> entry_under_test;

private:
    void publish(const fixture_options& wanted);
    void wait_until_configured() const;

    // Before the stand-ins, whose threads use them. Handlers take the mutex
    // first and last: requests come through sockets and a library that the
    // thread sanitizer can't see, so it is what orders them after the test's
    // own steps.
    mutable std::mutex mutex;
    std::vector<httplib::Request> requests;
    int store_revision = 2;
    std::string store_events; // that watches since the last one get, as JSON
    handler upstream_handler = [](const httplib::Request& asked,
                                  httplib::Response& given) {
        write_signed_answer(asked, given, "answer");
    };
    fake_http_server store_server;
    fake_http_server upstream_server;
    std::thread thread;
};

} // namespace greengagedrum::entry
