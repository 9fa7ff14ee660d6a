// A bounded queue between threads: many producers, one consumer.
//
// A full queue refuses an item at once, and the producer answers its caller
// with `not_run` (back-pressure). No call blocks on a slow consumer.
#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

namespace greengagedrum::rings
{

template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : items(capacity) {}

    // False if the queue is full or closed; the item is then left untouched.
    [[nodiscard]] bool push(Item&& item)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed || this->items.full())
            return false;
        this->items.push_back(std::move(item));
        this->filled.notify_one();
        return true;
    }

    // Waits up to `timeout` for items, then moves all of them to `out`. Returns
    // false once the queue is closed and empty.
    template <class Rep, class Period>
    bool drain(std::vector<Item>& out,
               std::chrono::duration<Rep, Period> timeout)
    {
        std::unique_lock lock(this->mutex);
        this->filled.wait_for(lock, timeout, [this] {
            return this->closed || !this->items.empty();
        });
        for (Item& item : this->items)
            out.push_back(std::move(item));
        this->items.clear();
        return !(this->closed && out.empty());
    }

    bool is_closed()
    {
        const std::lock_guard lock(this->mutex);
        return this->closed;
    }

    std::size_t size()
    {
        const std::lock_guard lock(this->mutex);
        return this->items.size();
    }

    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        this->filled.notify_all();
    }

private:
    std::mutex mutex;
    std::condition_variable filled;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace greengagedrum::rings
