// The telemetry duty: a thread that takes measurements from all others.
//
// Why a ring and a thread, not a mutex around the registry: copying one of
// 1,024 series for /metrics took 4 ms, and a thread that decides or
// streams must not wait for it. So they push to a bounded ring, which holds
// its lock for one item; only the collector's own thread and the readers of
// snapshots share the registry's mutex. When the ring is full a measurement
// is dropped and counted: metrics may lose, requests may not.
#pragma once

#include <greengagedrum/rings/bounded_queue.hpp>
#include <greengagedrum/telemetry/registry.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace greengagedrum::telemetry
{

class collector
{
public:
    collector(std::size_t series_max, std::size_t ring_capacity);

    // Takes in what is still in the ring, then ends the thread.
    ~collector();

    collector(const collector&) = delete;
    collector& operator=(const collector&) = delete;

    // From any thread; returns at once.
    void record(measurement told);

    // What was taken in so far; a measurement shows within a moment.
    registry snapshot() const;

    // Ends the thread when all that was recorded is taken in; no more is
    // taken after it.
    void stop();

private:
    void run();

    rings::bounded_queue<measurement> ring;
    std::atomic<std::uint64_t> dropped = 0;
    mutable std::mutex mutex; // of `current`
    registry current;
    std::thread thread;
};

} // namespace greengagedrum::telemetry
