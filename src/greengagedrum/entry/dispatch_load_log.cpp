#include <greengagedrum/entry/dispatch_load_log.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

#include <algorithm>
#include <ctime>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

constexpr base::duration interval = std::chrono::seconds(1);

// Processor time that the process has used since its start.
base::duration process_time()
{
    const double seconds = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

void dispatch_load_log::on_tick(base::instant now,
                                base::duration lateness,
                                const traffic::scheduler& scheduler,
                                std::size_t members,
                                rate_limited_log& log)
{
    this->longest_lateness = std::max(this->longest_lateness, lateness);
    if (now - this->begun_at < interval)
        return;
    const base::duration covered = now - std::exchange(this->begun_at, now);
    const base::duration used_now = process_time();
    const base::duration used =
        used_now - std::exchange(this->processor_time, used_now);
    const base::duration late =
        std::exchange(this->longest_lateness, base::duration(0));
    const traffic::scheduler_counters& total = scheduler.counters();
    const traffic::scheduler_counters before =
        std::exchange(this->counters, total);
    if (members == 0)
        return;
    log.write(now,
              "peers",
              "dispatcher_load",
              {{"interval_ms", to_milliseconds(covered)},
               {"processor_ms", to_milliseconds(used)},
               {"late_ms", to_milliseconds(late)},
               {"members", members},
               {"waiting", scheduler.waiting()},
               {"in_flight", scheduler.in_flight()},
               {"arrived", total.arrived - before.arrived},
               {"sent", total.sent - before.sent},
               {"refused", total.refused - before.refused},
               {"passes", total.dispatch_passes - before.dispatch_passes},
               {"rated", total.upstreams_rated - before.upstreams_rated}});
}

} // namespace greengagedrum::entry
