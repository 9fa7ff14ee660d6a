// Logs once a second what dispatching for other entries costs this one.
//
// A dispatcher that has no processor time left decides late, so slots stand
// idle while callers are refused. Requests show only the latter.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/entry/rate_limited_log.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <cstddef>

namespace greengagedrum::entry
{

class dispatch_load_log
{
public:
    // To be called at each tick of the event loop. `lateness`: by how much this
    // tick comes later than it was due.
    void on_tick(base::instant now,
                 base::duration lateness,
                 const traffic::scheduler& scheduler,
                 std::size_t members,
                 rate_limited_log& log);

private:
    base::instant begun_at; // of the interval that the next line covers
    base::duration longest_lateness{0};
    base::duration processor_time{0}; // of the process at that time
    traffic::scheduler_counters counters;
};

} // namespace greengagedrum::entry
