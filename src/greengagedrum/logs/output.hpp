// Where log lines go: the owner of the thread that writes them.
//
// A program holds one for its life. Lines queue in a bounded ring of
// Boost.Log; its own thread writes them. It guards against a reader of
// standard error that stalls (a full pipe): a direct write would stop every
// thread that logs, and with it the program. Here the queue fills, further
// lines are dropped and counted, and the program goes on.
#pragma once

#include <greengagedrum/logs/level.hpp>

#include <cstdint>
#include <memory>

namespace greengagedrum::logs
{

class output
{
public:
    // `descriptor` is not owned; the default is standard error. One object at
    // a time.
    explicit output(level least, int descriptor = 2);

    // Writes what is queued, waiting a bounded time for a stalled reader.
    ~output();

    output(const output&) = delete;
    output& operator=(const output&) = delete;

    // Lines lost since the start: the queue was full or the reader stalled.
    std::uint64_t dropped() const;

private:
    class sink_owner;
    std::unique_ptr<sink_owner> owner;
};

} // namespace greengagedrum::logs
