#include <greengagedrum/telemetry/collector.hpp>

#include <chrono>
#include <utility>

namespace greengagedrum::telemetry
{

namespace
{

constexpr std::chrono::milliseconds patience{500};

} // namespace

collector::collector(std::size_t series_max, std::size_t ring_capacity)
    : ring(ring_capacity), current(series_max), thread([this] { this->run(); })
{
}

collector::~collector()
{
    this->stop();
}

void collector::record(measurement told)
{
    if (!this->ring.push(std::move(told)))
        this->dropped.fetch_add(1, std::memory_order_relaxed);
}

registry collector::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    registry copy = this->current;
    copy.set_dropped(this->dropped.load(std::memory_order_relaxed));
    return copy;
}

void collector::stop()
{
    this->ring.close();
    if (this->thread.joinable())
        this->thread.join();
}

void collector::run()
{
    std::vector<measurement> batch;
    while (this->ring.drain(batch, patience)) {
        const std::lock_guard lock(this->mutex);
        for (const measurement& each : batch)
            this->current.add(each);
        batch.clear();
    }
}

} // namespace greengagedrum::telemetry
