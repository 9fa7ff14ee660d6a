// Logs once a second, at an entry that selects upstreams, what requests of each
// service waited for and how many were refused before and after they waited.
//
// It tells apart a queue that stands while all slots are used, slots that are
// free while requests wait, and requests that wait until they can't be served.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/entry/rate_limited_log.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <functional>
#include <string>

namespace greengagedrum::entry
{

class service_queue_log
{
public:
    using service_names = std::function<std::string(base::upstream_class_id)>;

    // To be called at each tick of the event loop.
    void on_tick(base::instant now,
                 traffic::scheduler& scheduler,
                 const service_names& name_of,
                 rate_limited_log& log);

private:
    base::instant begun_at; // of the interval that the next lines cover
};

} // namespace greengagedrum::entry
