// Asks every live engine of the own data centre for its load and cache events,
// and tells the decision thread.
//
// A few threads share one schedule, so that an engine that is silent holds one
// of them for a time-out and the rest go on; it is then asked ever less often.
// Reports are hints: when the ring is full they are dropped and counted.
#pragma once

#include <greengagedrum/callers/inbox.hpp>
#include <greengagedrum/upstreams/directory.hpp>
#include <greengagedrum/upstreams/report_client.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace greengagedrum::upstreams
{

struct poll_options {
    std::string data_centre;
    // Between two asks of one engine. Beyond four entries in the data centre
    // it grows with their number, so that an engine is asked no more than
    // about four times a period in all.
    std::chrono::milliseconds period{500};
    std::chrono::milliseconds timeout{300}; // of each exchange
    std::size_t threads = 4;
    std::uint64_t seed = 1; // of the jitter
};

class report_poller
{
public:
    report_poller(const poll_options& chosen,
                  const directory& known,
                  callers::inbox& inbox);
    ~report_poller();
    report_poller(const report_poller&) = delete;
    report_poller& operator=(const report_poller&) = delete;

    void start();

    // Waits for the exchanges under way, a time-out at most.
    void stop();

    std::uint64_t polls() const { return this->polled; }
    std::uint64_t failures() const { return this->failed; }
    std::uint64_t dropped() const { return this->lost; }

private:
    using clock = std::chrono::steady_clock;

    struct target {
        target(const std::string& name,
               const std::string& address,
               std::chrono::milliseconds timeout);

        std::string address;
        report_client client;
        std::uint32_t failures = 0; // in a row
        std::uint32_t turn = 0;
        bool gone = false;
    };
    struct due {
        clock::time_point at;
        std::shared_ptr<target> who;
        bool operator>(const due& other) const { return this->at > other.at; }
    };

    void run();
    void refresh();
    bool poll(target& one);
    void push(delivery::event what);
    clock::duration pause(const target& one);

    const poll_options options;
    const directory& upstreams;
    callers::inbox& events;
    std::atomic<std::uint64_t> polled{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> lost{0};

    std::mutex mutex; // of all below
    std::condition_variable changed;
    bool stopping = false;
    std::map<std::string, std::shared_ptr<target>> targets; // by name
    std::priority_queue<due, std::vector<due>, std::greater<>> schedule;
    clock::time_point refresh_at;
    std::size_t sharers = 1; // entries that ask the same engines
    std::mt19937_64 random;
    std::vector<std::thread> threads;
};

} // namespace greengagedrum::upstreams
