// The threads that serve a server's connections, started as they are needed.
//
// A connection given while every thread is busy starts another thread, up to
// a limit; beyond it connections wait. Threads stay until the shutdown. It
// is not a general executor: httplib owns it and gives it connections.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace greengagedrum::http
{

class growing_pool final : public httplib::TaskQueue
{
public:
    explicit growing_pool(std::size_t limit) : threads_max(limit) {}

    void enqueue(std::function<void()> job) override;

    // Runs what was given, then joins every thread.
    void shutdown() override;

private:
    void start_thread();
    void work();

    const std::size_t threads_max;
    std::mutex mutex;
    std::condition_variable given;
    std::deque<std::function<void()>> jobs;
    std::vector<std::thread> threads;
    std::size_t idle = 0; // threads that wait for a job
    bool stopping = false;
};

} // namespace greengagedrum::http
