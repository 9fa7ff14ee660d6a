#include <greengagedrum/http/growing_pool.hpp>

#include <system_error>
#include <utility>

namespace greengagedrum::http
{

void growing_pool::enqueue(std::function<void()> job)
{
    const std::lock_guard lock(this->mutex);
    this->jobs.push_back(std::move(job));
    const bool all_busy = this->idle < this->jobs.size();
    if (all_busy && this->threads.size() < this->threads_max)
        this->start_thread();
    this->given.notify_one();
}

// A thread may be refused (a process limit). It shows as std::system_error in
// the accepting thread, which would end the process; with other threads at
// work the connection only waits for one of them.
void growing_pool::start_thread()
{
    try {
        this->threads.emplace_back([this] { this->work(); });
    } catch (const std::system_error&) {
        if (this->threads.empty())
            throw;
    }
}

void growing_pool::shutdown()
{
    std::vector<std::thread> ending;
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        ending.swap(this->threads);
    }
    this->given.notify_all();
    for (std::thread& thread : ending)
        thread.join();
}

void growing_pool::work()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        ++this->idle;
        this->given.wait(
            lock, [this] { return this->stopping || !this->jobs.empty(); });
        --this->idle;
        if (this->jobs.empty())
            return;
        const std::function<void()> job = std::move(this->jobs.front());
        this->jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace greengagedrum::http
