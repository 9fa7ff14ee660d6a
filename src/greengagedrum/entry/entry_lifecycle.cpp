// An entry's timed work: configuration updates, pauses, settings reloads and
// shutdown.
#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/entry/suspension.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/relay/connect_check.hpp>

#include <gsl/util>

#include <csignal>
#include <exception>
#include <string_view>

namespace greengagedrum::entry
{

namespace
{

// Tick intervals while requests wait for slots, while requests are in flight,
// and while there are none.
constexpr auto waiting_tick = std::chrono::milliseconds(5);
constexpr auto busy_tick = std::chrono::milliseconds(20);
constexpr auto idle_tick = std::chrono::milliseconds(50);
constexpr base::duration sweep_period = std::chrono::milliseconds(100);
constexpr base::duration settings_period = std::chrono::seconds(1);
constexpr base::duration store_measure_interval = std::chrono::seconds(3);

// A turn of the event loop takes milliseconds. A tick that is this late means
// that the process was frozen, and that its state is outdated by as much.
constexpr base::duration pause_threshold = std::chrono::milliseconds(400);
// Limit of a pause: if neither the store nor a peer answers, outdated state is
// better than none.
constexpr base::duration pause_timeout = std::chrono::milliseconds(500);

// So many faults of handlers within that time end the process.
constexpr std::uint32_t faults_most = 20;
constexpr base::duration fault_window = std::chrono::seconds(10);

} // namespace

void entry::on_store_items(const routing::store_item_list& items,
                           std::uint64_t as_of,
                           bool whole,
                           const char* source)
{
    this->apply_changes(
        this->state.cluster.apply(items, as_of, whole, this->state.clock()),
        source);
    this->end_pause(source);
}

void entry::apply_changes(const cluster_changes& changes, const char* source)
{
    const base::instant now = this->state.clock();
    if (!changes.unreadable_items.empty())
        this->state.log.write(now,
                              "cluster_state",
                              "item_unreadable",
                              {{"why", changes.unreadable_items.front()},
                               {"items", changes.unreadable_items.size()},
                               {"source", source}});
    if (changes.configuration_changed) {
        const routing::configuration& config =
            this->state.cluster.routes()->config();
        this->state.limiter.set_limits(config, now);
        this->apply_slow_start_limits();
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
    for (const routing::published_upstream& one : changes.added)
        this->state.log.write(now,
                              "cluster_state",
                              "upstream_joined",
                              {{"upstream", one.name},
                               {"address", base::to_string(one.address)},
                               {"slots", one.slots},
                               {"revision", one.revision},
                               {"source", source}});
    for (const removed_upstream& one : changes.removed)
        this->state.log.write(now,
                              "cluster_state",
                              "upstream_left",
                              {{"upstream", one.name},
                               {"as_of", this->state.cluster.store_revision()},
                               {"source", source}});
    this->streams->on_upstreams_changed(changes);
    this->handler->apply_upstream_changes(changes);
    if (!changes.added.empty())
        this->handler->tick();
}

void entry::on_store_failed(const std::string& why)
{
    const base::instant now = this->state.clock();
    this->state.cluster.on_store_failed(now);
    if (this->store_unreachable)
        return;
    this->store_unreachable = true;
    logs::write(
        logs::level::warning, "store", "dependency_lost", {{"why", why}});
}

void entry::on_store_answered()
{
    const base::instant now = this->state.clock();
    this->state.cluster.on_store_answered(now);
    this->peers->record_store_answer();
    if (this->store_unreachable)
        logs::write(
            logs::level::info,
            "store",
            "dependency_regained",
            {{"after_ms",
              static_cast<double>((now - this->last_store_answer).count()) /
                  1000}});
    this->store_unreachable = false;
    this->last_store_answer = now;
}

// A handler that throws costs what it worked on. Each handler that is called
// again and again renews itself even if it throws, so the others go on.
void entry::run_loop()
{
    while (true) {
        try {
            this->context.run();
            return;
        } catch (const std::exception& fault) {
            this->on_handler_fault(fault.what());
        }
    }
}

// Many faults in a row mean that its state is broken: it stops, so that what it
// holds gets a true answer and its peers take over.
void entry::on_handler_fault(const char* why)
{
    const base::instant now = this->state.clock();
    if (now - this->first_recent_fault > fault_window) {
        this->first_recent_fault = now;
        this->recent_faults = 0;
    }
    this->recent_faults += 1;
    logs::write(
        logs::level::error,
        "entry",
        "handler_failed",
        {{"why", std::string_view(why)}, {"recent", this->recent_faults}});
    if (this->recent_faults < faults_most || this->stopping)
        return;
    this->failed = true;
    this->begin_stop(SIGTERM);
}

void entry::schedule_tick()
{
    const bool waiting = this->state.scheduler.waiting() > 0;
    const bool busy = this->handler->in_flight() > 0;
    const base::duration pause = waiting ? waiting_tick
                                 : busy  ? busy_tick
                                         : idle_tick;
    this->next_tick_due = this->state.clock() + pause;
    this->timer.expires_after(pause);
    this->timer.async_wait([this](relay::error_code fault) {
        if (fault)
            return;
        const auto next = gsl::finally([this] { this->schedule_tick(); });
        this->tick();
    });
}

void entry::tick()
{
    const base::instant now = this->state.clock();
    this->detect_pause(now);
    this->last_tick = now;
    this->turns->on_turn(now, this->total_suspended);
    this->apply_changes(this->state.cluster.expire(now), "lapse");
    if (this->tunnels)
        this->tunnel_room.resize(this->tunnels->active() *
                                 sizeof(relay::tunnel));
    this->handler->tick();
    this->dispatch_load.on_tick(now,
                                now - this->next_tick_due,
                                this->state.scheduler,
                                this->handler->member_requests().member_count(),
                                this->state.log);
    this->service_queues.on_tick(
        now,
        this->state.scheduler,
        [this](base::upstream_class_id one) { return this->service_name(one); },
        this->state.log);
    this->peers->tick(this->store->failing());
    this->streams->tick(this->peers->store_confirmed_at());
    this->measure_store_connect(now);
    if (now - this->last_timeout_check >= sweep_period) {
        this->last_timeout_check = now;
        this->readiness_server->check_time(now);
        this->control_server->check_time(now);
        if (this->metrics_server)
            this->metrics_server->check_time(now);
    }
    if (now - this->last_settings_check >= settings_period) {
        this->last_settings_check = now;
        this->check_settings();
        this->open_optional_ports();
        if (this->state.kept_connections_max > 0)
            this->handler->set_entry_count(this->peers->serving_peers().size() +
                                           1);
    }
    if (this->stopping)
        this->check_stop();
}

// Failure guarded against: the process is frozen or its machine suspended, and
// on resuming it acts on outdated state: it sends to upstreams that have left,
// by routes that were changed. Nothing is sent until the store or a peer has
// provided current state.
void entry::detect_pause(base::instant now)
{
    const base::duration suspended_so_far = suspended_time();
    const bool late = now - this->last_tick > pause_threshold;
    const bool was_suspended =
        suspended_so_far - this->total_suspended > pause_threshold;
    this->total_suspended = suspended_so_far;
    if (late || was_suspended) {
        this->pause_detected_at = now;
        this->state.scheduler.set_paused(true);
        this->streams->begin_history_anew();
        this->store->poll_now();
        logs::write(
            logs::level::warning,
            "entry",
            "pause_noticed",
            {{"late_ms",
              static_cast<double>((now - this->last_tick).count()) / 1000},
             {"suspended", was_suspended}});
    }
    if (this->pause_detected_at &&
        now - *this->pause_detected_at > pause_timeout)
        this->end_pause("time");
}

void entry::end_pause(const char* why)
{
    if (!this->pause_detected_at)
        return;
    this->pause_detected_at.reset();
    this->state.scheduler.set_paused(false);
    logs::write(logs::level::info, "entry", "pause_over", {{"why", why}});
    this->handler->tick();
}

void entry::measure_store_connect(base::instant now)
{
    if (!this->peers->measures_store() ||
        (this->store_measured_at &&
         now - *this->store_measured_at < store_measure_interval))
        return;
    this->store_measured_at = now;
    const auto check = std::make_shared<relay::connect_check>(
        this->context, [this, now](bool accepted) {
            if (accepted)
                this->peers->record_store_connect(this->state.clock() - now);
        });
    check->start(this->own_settings.store_address, base::duration(0));
}

void entry::check_settings()
{
    const auto changed = this->load_settings();
    if (!changed)
        return;
    this->own_settings.bounds = changed->bounds;
    this->own_settings.seeds = changed->seeds;
    this->state.regions = changed->regions;
    this->state.scheduler.set_regions(changed->regions);
    this->apply_bounds();
    this->peers->apply_settings(*changed);
    if (this->stopping) {
        this->stopping->on_timeout_changed(changed->bounds.stop_timeout);
        this->handler->set_stop_schedule(*this->stopping);
    }
    logs::write(logs::level::info, "entry", "settings_reloaded");
}

void entry::on_signal(int number)
{
    const auto next = gsl::finally([this] {
        this->signals.async_wait([this](relay::error_code fault, int later) {
            if (!fault)
                this->on_signal(later);
        });
    });
    if (number == SIGHUP)
        this->check_settings();
    else if (!this->stopping)
        this->begin_stop(number);
}

void entry::stop()
{
    relay::asio::post(this->context, [this] {
        if (!this->stopping)
            this->begin_stop(SIGTERM);
    });
}

void entry::begin_stop(int number)
{
    const shutdown::signal_window signal =
        this->turns->signal_noticed(this->state.clock(), suspended_time());
    this->stopping.emplace(signal, this->own_settings.bounds.stop_timeout);
    this->state.stopping = true;
    this->handler->begin_stop(*this->stopping);
    this->peers->begin_stop();
    logs::write(
        logs::level::info,
        "entry",
        "stopping",
        {{"signal", number},
         {"sent_before_ms", to_milliseconds(signal.noticed - signal.earliest)},
         {"in_flight", this->handler->in_flight()}});
}

void entry::check_stop()
{
    using shutdown::stop_phase;
    const base::instant now = this->state.clock();
    const stop_phase phase = this->stopping->at(now);
    if (phase == stop_phase::accepting)
        return;
    if (this->accepting_requests) {
        this->accepting_requests = false;
        this->log_stop("stop_accept_ended",
                       this->stopping->accept_ends_by_probes() ? "probes"
                                                               : "time");
    }
    if (phase == stop_phase::finishing && this->stopping->listens(now))
        return;
    if (this->accepting_connections) {
        this->accepting_connections = false;
        this->handler->stop_accepting();
    }
    this->handler->close_idle_connections();
    if (phase >= stop_phase::ending && !this->requests_ended) {
        this->requests_ended = true;
        this->log_stop("stop_requests_ended");
        this->handler->end_all();
        // The final responses are written before the next tick.
        return;
    }
    if (phase >= stop_phase::ending)
        this->handler->refuse_unread_requests();
    const bool done = this->handler->in_flight() == 0 &&
                      this->handler->abandoned_running() == 0 &&
                      this->handler->open_connections() == 0 &&
                      (!this->tunnels || this->tunnels->active() == 0);
    if (phase == stop_phase::over)
        this->handler->abort_unframed_responses();
    if (done || phase == stop_phase::over)
        this->context.stop();
}

void entry::log_stop(const char* what, const char* why) const
{
    const base::instant now = this->state.clock();
    logs::write(logs::level::info,
                "entry",
                what,
                {{"why", why},
                 {"after_ms",
                  to_milliseconds(this->stopping ? now - this->stopping->begun()
                                                 : base::duration(0))},
                 {"in_flight", this->handler->in_flight()},
                 {"abandoned", this->handler->abandoned_running()},
                 {"waiting", this->state.scheduler.waiting()},
                 {"connections", this->handler->open_connections()},
                 {"tunnels", this->tunnels ? this->tunnels->active() : 0}});
}

} // namespace greengagedrum::entry
