// Writes what the decision core is told and does, as trace lines.
//
// Failure guarded against: a reader of the trace that stalls must not stall
// decisions. Lines wait in a bounded ring for a thread of the recorder's own;
// a full ring drops the line and counts it, and the trace then says so, for
// one with a gap can't be replayed.
#pragma once

#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/rings/bounded_queue.hpp>

#include <atomic>
#include <cstdint>
#include <span>
#include <string>
#include <thread>

namespace greengagedrum::trace
{

inline constexpr std::size_t recorder_lines_max = 16'384;

class recorder
{
public:
    // `descriptor` stays the caller's; it is neither set up nor closed here.
    recorder(int descriptor,
             const delivery::scheduler_options& options,
             std::size_t lines_max = recorder_lines_max);
    ~recorder(); // writes what waits, unless the reader stalls
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    // One step of the core.
    void record(const delivery::event& what,
                base::instant now,
                std::span<const delivery::action> actions);

    std::uint64_t dropped() const { return this->lost; }

private:
    void add(std::string line);
    void run();
    bool write_all(std::string_view text) const;

    int descriptor;
    rings::bounded_queue<std::string> lines;
    std::atomic<std::uint64_t> lost{0};
    std::atomic<bool> ending{false};
    std::uint64_t lost_told = 0; // of the recording thread
    std::thread writer;
};

} // namespace greengagedrum::trace
