// The stand-in of a plain service: it runs each call once it comes, also the
// same one twice, and keeps a ledger by which a test finds calls that ran
// when they must not have. For tests, the demo and `ggd-standin`.
#pragma once

#include <greengagedrum/http/server.hpp>
#include <standin/ledger.hpp>
#include <standin/service_faults.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace standin
{

struct service_settings {
    std::chrono::milliseconds latency{5}; // of one call
    std::size_t threads_max = 512;        // one a connection
};

class service
{
public:
    explicit service(const service_settings& given = {});
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    ~service();

    // Serves on "IP:port"; false when it can't be bound. Once only.
    bool start(std::string_view address = "127.0.0.1:0");
    std::string address() const { return this->server.address(); }
    void stop() { this->kill(); }

    // Breaks every connection; calls that have not run yet don't. Idempotent.
    void kill();

    // False after a fault has ended it.
    bool alive();

    void inject(const service_fault& fault);
    std::vector<ledger_run> ledger();

private:
    void call(const httplib::Request& request, httplib::Response& answer);
    bool pass_latency();
    void record(const httplib::Request& request);
    void take_fault(const httplib::Request& request, httplib::Response& answer);
    void die();

    const service_settings settings;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<ledger_run> runs;
    service_fault fault = service_mend{};
    bool ended = false;
    greengagedrum::http::server server;
};

} // namespace standin
