#include <greengagedrum/base/incarnation_started_at.hpp>
#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/entry/quarantine_endpoint.hpp>
#include <greengagedrum/entry/suspension.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace greengagedrum::entry
{

namespace
{

// Start value of the loop's clock, so that a default time stamp ("never") lies
// well before every time.
constexpr base::duration loop_clock_start = std::chrono::hours(1);

// Combinations of workspace, tier and route that have their own histograms;
// each takes about 5.5 KiB.
constexpr std::size_t max_metric_series = 256;

// Idle connections kept at once. At 15 requests a second and kept for 0.5 to 2
// s, an entry has that many at most.
constexpr std::size_t kept_connections_max = 32;

std::size_t kept_connections_max_of(const settings& from)
{
    return from.keeps_connections ? kept_connections_max : 0;
}

base::incarnation new_incarnation()
{
    return base::incarnation_started_at(
        std::chrono::system_clock::now().time_since_epoch());
}

traffic::retry_budget_settings retry_bounds_of(const bounds& from)
{
    return {from.retry_ratio, from.retry_slack, from.retry_window};
}

// Null where the platform limits no memory.
std::shared_ptr<memory::account> account_for(const settings& values)
{
    if (values.memory_bytes == 0)
        return nullptr;
    return std::make_shared<memory::account>(
        memory::levels_of(values.memory_bytes));
}

std::function<base::instant()>
loop_clock(std::chrono::steady_clock::time_point started_at)
{
    return [started_at] {
        const auto passed = std::chrono::steady_clock::now() - started_at;
        return base::instant(
            loop_clock_start +
            std::chrono::duration_cast<base::duration>(passed));
    };
}

} // namespace

entry::entry(const settings& initial_settings, settings_loader load_settings)
    : own_settings(initial_settings), load_settings(std::move(load_settings)),
      started_at(std::chrono::steady_clock::now()),
      state{loop_clock(this->started_at),
            cluster_state(),
            quota::usage_limiter(base::instant(loop_clock_start)),
            traffic::scheduler(retry_bounds_of(initial_settings.bounds),
                               {initial_settings.data_centre,
                                base::hash_name(initial_settings.instance),
                                initial_settings.regions}),
            rate_limited_log(),
            telemetry::registry(max_metric_series),
            false,
            false,
            initial_settings.regions,
            account_for(initial_settings),
            kept_connections_max_of(initial_settings),
            share_descriptors(initial_settings.max_descriptors,
                              descriptor_limit())},
      incarnation(new_incarnation()), timer(this->context),
      stream_timer(this->context),
      signals(this->context, SIGTERM, SIGINT, SIGHUP),
      tunnel_room(this->state.memory, memory::kind::tunnels)
{
    this->apply_bounds();
    this->last_store_answer = this->state.clock();
    this->last_tick = this->state.clock();
    this->total_suspended = suspended_time();
    this->turns.emplace(this->last_tick, this->total_suspended);
    this->make_stream_versions();
    this->make_request_handler();
    this->peer_datagram_socket = std::make_unique<peer_socket>(
        this->context, initial_settings.ip, initial_settings.peer_port);
    this->peers = std::make_unique<peer_protocol>(initial_settings,
                                                  this->incarnation,
                                                  this->state,
                                                  this->make_peer_events(),
                                                  this->make_peer_transport());
    this->peer_datagram_socket->start(
        [this](std::string_view bytes, const std::string& from) {
            this->peers->on_message(bytes, from);
        },
        [this] { this->peers->on_timer(); });
    store_events store_callbacks;
    store_callbacks.items_received =
        [this](const routing::store_item_list& items,
               std::uint64_t as_of,
               bool complete) {
            this->on_store_items(items, as_of, complete, "store");
        };
    store_callbacks.page_received =
        [this](const routing::store_item_list& items) {
            this->apply_changes(
                this->state.cluster.apply(items, 0, false, this->state.clock()),
                "store");
        };
    store_callbacks.call_failed = [this](const std::string& why) {
        this->on_store_failed(why);
    };
    store_callbacks.call_answered = [this] { this->on_store_answered(); };
    store_callbacks.peer_reads_store = [this] {
        return this->peers->peer_reads_store();
    };
    store_callbacks.awaits_listing = [this] {
        return this->peers->awaits_listing();
    };
    this->store = std::make_unique<store_reader>(this->context,
                                                 initial_settings.store_address,
                                                 std::move(store_callbacks));
    this->store->set_resuming(this->several_regions());
    this->store->set_update_bound(
        initial_settings.bounds.shortest_update_delay());
    this->readiness_server = std::make_unique<relay::small_server>(
        this->context,
        initial_settings.readiness_address,
        this->state.descriptors.operators,
        this->state.clock,
        [this](const relay::small_question&) {
            return this->answer_readiness();
        });
    this->control_server = std::make_unique<relay::small_server>(
        this->context,
        initial_settings.control_address,
        this->state.descriptors.peers,
        this->state.clock,
        [this](const relay::small_question& request) {
            return this->answer_control(request.target);
        });
    this->open_optional_ports();
    this->handler->listen(initial_settings.caller_address);
}

peer_events entry::make_peer_events()
{
    peer_events out;
    out.peer_load_changed = [this] {
        this->handler->dispatch_queued_requests();
    };
    out.items_received = [this](const gossip::item_transfer& transfer) {
        this->apply_changes(
            this->state.cluster.apply(transfer, this->state.clock()), "peer");
        this->end_pause("peer");
        this->store->skip_to_revision(this->state.cluster.store_revision());
        if (transfer.complete && transfer.store_revision > 0 &&
            this->several_regions())
            this->store->adopt_listing(transfer.store_revision);
    };
    out.listing_received = [this](std::uint64_t as_of) {
        this->store->adopt_listing(as_of);
    };
    out.delegation_started = [this] { this->handler->start_delegating(); };
    out.delegation_ended = [this](std::size_t unheard,
                                  const limit_handover* handover) {
        this->handler->stop_delegating(unheard, handover);
    };
    out.make_report = [this] { return this->handler->make_member_report(); };
    out.reply_received = [this](const dispatch::dispatcher_reply& reply) {
        this->handler->on_dispatcher_reply(reply);
    };
    out.report_received = [this](base::slot_id member,
                                 const gossip::message& message) {
        this->handler->on_member_report(member,
                                        message.incarnation,
                                        message.report,
                                        message.upstream_loads);
    };
    out.member_lost = [this](base::slot_id member) {
        this->handler->on_member_lost(member);
    };
    out.members_awaiting_reply = [this] {
        return this->handler->member_requests().members_to_answer(
            this->state.clock());
    };
    out.make_reply = [this](base::slot_id member) {
        return this->handler->member_requests().build_reply(
            member, this->state.clock());
    };
    out.stream_message_received = [this](const versions::message& received,
                                         gossip::ipv4_address from) {
        this->streams->on_message(received, from);
    };
    return out;
}

void entry::run()
{
    logs::write(
        logs::level::info,
        "entry",
        "started",
        {{"instance", this->own_settings.instance},
         {"data_centre", this->own_settings.data_centre},
         {"callers", base::to_string(this->own_settings.caller_address)},
         {"store", base::to_string(this->own_settings.store_address)},
         {"life", this->incarnation.value}});
    this->signals.async_wait([this](relay::error_code fault, int number) {
        if (!fault)
            this->on_signal(number);
    });
    this->store->start();
    this->peers->schedule_gossip();
    this->schedule_tick();
    this->run_loop();
    this->log_stop("stopped");
    if (this->failed)
        throw std::runtime_error("handlers failed repeatedly");
}

bool entry::several_regions() const
{
    return routing::spans_regions(this->own_settings.regions);
}

void entry::apply_bounds()
{
    this->state.limiter.set_tolerance(
        {this->own_settings.bounds.usage_window,
         this->own_settings.bounds.usage_overshoot,
         this->own_settings.bounds.usage_slack});
    this->state.scheduler.set_retry_budget(
        retry_bounds_of(this->own_settings.bounds));
    if (this->store)
        this->store->set_update_bound(
            this->own_settings.bounds.shortest_update_delay());
    this->apply_slow_start_limits();
}

void entry::apply_slow_start_limits()
{
    const routing::route_table_ptr& routes = this->state.cluster.routes();
    if (!routes)
        return;
    const traffic::slow_start_tolerance tolerance{
        this->own_settings.bounds.warmup_overshoot,
        this->own_settings.bounds.warmup_slack};
    for (const routing::service& one : routes->config().services)
        this->state.scheduler.set_slow_start_rate(
            one.id,
            one.warmup_requests_per_second > 0
                ? traffic::slow_start_rate(one.warmup_requests_per_second,
                                           tolerance)
                : 0);
}

// namespace

bool entry::ready() const
{
    return !this->state.stopping && this->state.cluster.routes() != nullptr &&
           !this->peers->awaits_quarantine();
}

relay::small_answer entry::answer_readiness()
{
    if (this->ready())
        return {200, "text/plain", "ready\n"};
    if (this->stopping) {
        this->stopping->on_negative_probe(this->state.clock());
        this->handler->set_stop_schedule(*this->stopping);
    }
    if (this->peers->awaits_quarantine())
        return {503, "text/plain", "not ready: quarantine not known\n"};
    return {503, "text/plain", "not ready\n"};
}

relay::small_answer entry::answer_control(std::string_view target)
{
    const auto query = parse_item_query(target);
    if (!query)
        return {503, "text/plain", "unknown target\n"};
    return {200, "application/octet-stream", this->peers->answer(*query)};
}

relay::small_answer entry::answer_metrics(const relay::small_question& request)
{
    if (is_quarantine_request(request))
        return answer_quarantine_request(this->state, request);
    return {200,
            std::string(telemetry::prometheus_content_type),
            this->metrics_text()};
}

std::string entry::metrics_text() const
{
    telemetry::registry registry = this->state.metrics;
    const auto set = [&registry](telemetry::gauge gauge, double value) {
        registry.add(telemetry::gauge_set{gauge, value});
    };
    const base::instant now = this->state.clock();
    set(telemetry::gauge::config_age_seconds,
        placement::seconds_of(now - this->last_store_answer));
    set(telemetry::gauge::config_revision,
        static_cast<double>(this->state.cluster.configuration_revision()));
    set(telemetry::gauge::requests_waiting,
        static_cast<double>(this->state.scheduler.waiting()));
    set(telemetry::gauge::requests_in_flight,
        static_cast<double>(this->state.scheduler.in_flight()));
    set(telemetry::gauge::peers_linked,
        static_cast<double>(this->peers->live_peers()));
    set(telemetry::gauge::upstreams_live,
        static_cast<double>(this->state.cluster.upstreams().usable_count()));
    set(telemetry::gauge::data_centres_evacuated,
        static_cast<double>(
            this->state.cluster.upstreams().evacuated().size()));
    set(telemetry::gauge::requests_quarantined,
        static_cast<double>(this->state.scheduler.crash_suspects()
                                .list_quarantined(now)
                                .size()));
    set(telemetry::gauge::upstreams_rate_limited,
        static_cast<double>(
            this->state.scheduler.announced_limits().count(now)));
    set(telemetry::gauge::connections_kept,
        static_cast<double>(this->handler->kept_connection_count()));
    const relay::kept_totals& totals = this->handler->connection_totals();
    const auto count = [&registry](telemetry::counter what,
                                   std::uint64_t amount) {
        registry.add(telemetry::process_count{what, amount});
    };
    count(telemetry::counter::connections_opened, totals.opened);
    count(telemetry::counter::connections_reused, totals.reused);
    count(telemetry::counter::connections_kept, totals.kept);
    count(telemetry::counter::connections_closed_unused, totals.closed_unused);
    set(telemetry::gauge::log_lines_dropped,
        static_cast<double>(logs::dropped_lines() +
                            this->state.log.suppressed_lines()));
    set(telemetry::gauge::congested, this->peers->is_congested() ? 1 : 0);
    set(telemetry::gauge::stream_records,
        static_cast<double>(this->streams->record_count()));
    set(telemetry::gauge::stopping, this->state.stopping ? 1 : 0);
    if (this->state.memory) {
        const memory::account& held = *this->state.memory;
        set(telemetry::gauge::memory_capacity,
            static_cast<double>(held.levels().capacity));
        constexpr auto first =
            static_cast<std::size_t>(telemetry::gauge::memory_request_bodies);
        for (std::size_t at = 0; at < memory::kind_count; ++at)
            set(static_cast<telemetry::gauge>(first + at),
                static_cast<double>(held.held(static_cast<memory::kind>(at))));
    }
    return telemetry::prometheus_text(registry);
}

} // namespace greengagedrum::entry
