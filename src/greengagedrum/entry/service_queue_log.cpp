#include <greengagedrum/entry/service_queue_log.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>

namespace greengagedrum::entry
{

namespace
{

constexpr base::duration interval = std::chrono::seconds(1);

bool had_queue(const traffic::service_queue_figures& one)
{
    return one.waiting > 0 || one.since.longest_wait.count() > 0 ||
           one.since.refused_on_arrival + one.since.refused_waiting > 0;
}

base::duration mean(base::duration total, std::uint64_t count)
{
    return count == 0 ? base::duration(0)
                      : total / static_cast<base::duration::rep>(count);
}

} // namespace

void service_queue_log::on_tick(base::instant now,
                                traffic::scheduler& scheduler,
                                const service_names& name_of,
                                rate_limited_log& log)
{
    if (now - this->begun_at < interval)
        return;
    this->begun_at = now;
    for (const traffic::service_queue_figures& one :
         scheduler.take_queue_figures()) {
        if (scheduler.is_delegating() || !had_queue(one))
            continue;
        const traffic::queue_figures& since = one.since;
        log.write(
            now,
            "front",
            "service_queue",
            {{"service", name_of(one.service)},
             {"waiting", one.waiting},
             {"slots", one.slots},
             {"slots_used", one.slots_used},
             {"arrived", since.arrived},
             {"sent", since.sent},
             {"wait_least_ms",
              to_milliseconds(since.shortest_wait.value_or(base::duration(0)))},
             {"wait_mean_ms",
              to_milliseconds(mean(since.total_wait, since.sent))},
             {"wait_most_ms", to_milliseconds(since.longest_wait)},
             {"refused_on_arrival", since.refused_on_arrival},
             {"refused_waiting", since.refused_waiting},
             {"refused_after_ms",
              to_milliseconds(
                  mean(since.total_wait_refused, since.refused_waiting))}});
    }
}

} // namespace greengagedrum::entry
