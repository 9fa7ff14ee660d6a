// Stands between two programs of a test and does what networks do: delays,
// cuts, refuses, and loses track of open connections without closing them.
//
// For tests only: one thread, a handful of connections, no bound on what it
// holds for a slow reader.
#pragma once

#include <greengagedrum/peers/descriptor.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

class forwarder
{
public:
    // Forwards what comes to a port of its own, on loopback, to `target`.
    explicit forwarder(std::string target);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    std::string address() const; // "127.0.0.1:port"

    // Taken in so far, of both directions.
    std::uint64_t bytes_carried() const;

    // Each byte arrives so much later.
    void set_delay(std::chrono::milliseconds delay);

    // Connections open now stay open and carry nothing more, for good; later
    // ones work.
    void silence_open();

    // While set, connections are taken and carry nothing (packets are lost).
    void set_silent(bool silent);

    // Closes all open connections.
    void drop_open();

    // While set, connections are closed as soon as they come.
    void set_refuse(bool refuse);

private:
    using clock = std::chrono::steady_clock;

    struct held_bytes {
        clock::time_point due;
        std::string bytes;
    };
    struct direction {
        std::deque<held_bytes> held;
        bool ended = false;
    };
    struct connection {
        greengagedrum::peers::descriptor near;
        greengagedrum::peers::descriptor far;
        direction outwards; // near to far
        direction back;
        bool silent = false;
        bool dead = false;
    };

    void run();
    void accept_one();
    void serve(connection& one);
    void read(int from, connection& one, direction& way);
    static void write(int to, connection& one, direction& way);

    std::string target;
    greengagedrum::peers::descriptor listener;
    mutable std::mutex mutex; // of all below
    std::vector<std::unique_ptr<connection>> open;
    std::chrono::milliseconds delay{0};
    bool silent = false;
    bool refuse = false;
    std::uint64_t carried = 0; // bytes
    bool stopping = false;
    std::thread thread;
};

} // namespace standin
