// An entry over time: news, pauses, changed settings, and its stop.
#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/entry/suspension.hpp>
#include <greengagedrum/logs/write.hpp>

#include <csignal>

namespace greengagedrum::entry
{

namespace
{

// While requests wait for places, are under way, and while there are none.
constexpr auto waiting_tick = std::chrono::milliseconds(5);
constexpr auto busy_tick = std::chrono::milliseconds(20);
constexpr auto idle_tick = std::chrono::milliseconds(50);
constexpr base::duration sweep_period = std::chrono::milliseconds(100);
constexpr base::duration settings_period = std::chrono::seconds(1);

// A turn of the loop takes milliseconds. One that is this late means that the
// process stood still, and that what it believes is as old.
constexpr base::duration pause_least = std::chrono::milliseconds(400);
// With neither store nor peers in reach, an old state is better than none.
constexpr base::duration pause_most = std::chrono::milliseconds(500);

// From SIGTERM on the balancer is told to send no more; it asks once a second
// and needs two answers. Connections that come meanwhile are served.
constexpr base::duration accept_after_stop = std::chrono::milliseconds(3000);
// Before the kill, for the last bytes to be on their way.
constexpr base::duration stop_margin = std::chrono::milliseconds(400);

} // namespace

// ---- News -----------------------------------------------------------------

void entry::on_news(const routing::item_list& items,
                    std::uint64_t as_of,
                    bool whole,
                    const char* source)
{
    this->apply(
        this->state.known.learn(items, as_of, whole, this->state.clock()),
        source);
    this->end_pause(source);
}

void entry::apply(const cluster_changes& changes, const char* source)
{
    const base::instant now = this->state.clock();
    if (!changes.faults.empty())
        this->state.log.write(now,
                              "cluster_state",
                              "item_unreadable",
                              {{"why", changes.faults.front()},
                               {"items", changes.faults.size()},
                               {"source", source}});
    if (changes.configuration) {
        const routing::configuration& config =
            this->state.known.routes()->source();
        this->state.limiter.set_limits(config, now);
        this->apply_slow_start();
        logs::write(logs::level::info,
                    "cluster_state",
                    "configuration_in_force",
                    {{"version", config.version},
                     {"revision", config.revision},
                     {"routes", config.routes.size()},
                     {"workspaces", config.workspaces.size()},
                     {"source", source}});
    }
    for (const evacuation_change& one : changes.evacuations)
        logs::write(logs::level::info,
                    "cluster_state",
                    one.evacuated ? "evacuation_in_force" : "evacuation_over",
                    {{"data_centre", one.data_centre},
                     {"revision", one.revision},
                     {"source", source}});
    for (const routing::published_upstream& one : changes.joined)
        this->state.log.write(now,
                              "cluster_state",
                              "upstream_joined",
                              {{"upstream", one.name},
                               {"address", base::to_string(one.address)},
                               {"slots", one.slots},
                               {"revision", one.revision},
                               {"source", source}});
    for (const departed_upstream& one : changes.left)
        this->state.log.write(now,
                              "cluster_state",
                              "upstream_left",
                              {{"upstream", one.name},
                               {"as_of", this->state.known.as_of()},
                               {"source", source}});
    this->callers->upstreams_changed(changes);
    if (!changes.joined.empty())
        this->callers->tick();
}

void entry::on_store_failed(const std::string& why)
{
    const base::instant now = this->state.clock();
    this->state.known.store_failed(now);
    if (this->store_away)
        return;
    this->store_away = true;
    logs::write(
        logs::level::warning, "store", "dependency_lost", {{"why", why}});
}

void entry::on_store_answered()
{
    const base::instant now = this->state.clock();
    this->state.known.store_answered(now);
    this->peers->store_answered();
    if (this->store_away)
        logs::write(
            logs::level::info,
            "store",
            "dependency_regained",
            {{"after_ms",
              static_cast<double>((now - this->store_answered_at).count()) /
                  1000}});
    this->store_away = false;
    this->store_answered_at = now;
}

// ---- Time -----------------------------------------------------------------

void entry::schedule_tick()
{
    const bool waiting = this->state.scheduler.waiting() > 0;
    const bool busy = this->callers->in_flight() > 0;
    this->timer.expires_after(waiting ? waiting_tick
                              : busy  ? busy_tick
                                      : idle_tick);
    this->timer.async_wait([this](relay::error_code fault) {
        if (fault)
            return;
        this->tick();
        this->schedule_tick();
    });
}

void entry::tick()
{
    const base::instant now = this->state.clock();
    this->notice_pause(now);
    this->ticked_at = now;
    this->apply(this->state.known.expire(now), "lapse");
    this->callers->tick();
    this->peers->tick(this->store->failing());
    if (now - this->swept_at >= sweep_period) {
        this->swept_at = now;
        this->readiness->check_time(now);
        this->control->check_time(now);
        this->metrics->check_time(now);
    }
    if (now - this->settings_read_at >= settings_period) {
        this->settings_read_at = now;
        this->check_settings();
    }
    if (this->stop_begun_at)
        this->check_stop();
}

// Failure guarded against: the process is frozen or its machine suspended, and
// on waking it acts on what it believed before: it sends to upstreams that
// have left, by routes that were moved. Nothing is sent until the store or a
// peer has told anew.
void entry::notice_pause(base::instant now)
{
    const base::duration asleep = suspended_time();
    const bool late = now - this->ticked_at > pause_least;
    const bool was_suspended = asleep - this->suspended > pause_least;
    this->suspended = asleep;
    if (late || was_suspended) {
        this->paused_at = now;
        this->state.scheduler.set_paused(true);
        this->store->hurry();
        logs::write(
            logs::level::warning,
            "entry",
            "pause_noticed",
            {{"late_ms",
              static_cast<double>((now - this->ticked_at).count()) / 1000},
             {"suspended", was_suspended}});
    }
    if (this->paused_at && now - *this->paused_at > pause_most)
        this->end_pause("time");
}

void entry::end_pause(const char* why)
{
    if (!this->paused_at)
        return;
    this->paused_at.reset();
    this->state.scheduler.set_paused(false);
    logs::write(logs::level::info, "entry", "pause_over", {{"why", why}});
    this->callers->tick();
}

void entry::check_settings()
{
    const auto changed = this->read_again();
    if (!changed)
        return;
    this->own.bounds = changed->bounds;
    this->own.seeds = changed->seeds;
    this->state.regions = changed->regions;
    this->apply_bounds();
    this->peers->reseed(*changed);
    logs::write(logs::level::info, "entry", "settings_reloaded");
}

// ---- Stopping -------------------------------------------------------------

void entry::on_signal(int number)
{
    if (number == SIGHUP)
        this->check_settings();
    else if (!this->stop_begun_at)
        this->begin_stop(number);
    this->signals.async_wait([this](relay::error_code fault, int next) {
        if (!fault)
            this->on_signal(next);
    });
}

void entry::stop()
{
    relay::asio::post(this->context, [this] {
        if (!this->stop_begun_at)
            this->begin_stop(SIGTERM);
    });
}

void entry::begin_stop(int number)
{
    this->stop_begun_at = this->state.clock();
    this->state.stopping = true;
    this->callers->begin_stop();
    this->peers->begin_stop();
    logs::write(
        logs::level::info,
        "entry",
        "stopping",
        {{"signal", number}, {"in_flight", this->callers->in_flight()}});
}

void entry::check_stop()
{
    const base::instant now = this->state.clock();
    const base::duration passed = now - *this->stop_begun_at;
    if (passed >= accept_after_stop && this->accepting) {
        this->accepting = false;
        this->callers->stop_accepting();
    }
    const bool done = !this->accepting && this->callers->in_flight() == 0 &&
                      this->callers->callers_open() == 0;
    if (done || passed >= this->own.bounds.stop - stop_margin)
        this->context.stop();
}

} // namespace greengagedrum::entry
