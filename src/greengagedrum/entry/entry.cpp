#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/entry/quarantine_page.hpp>
#include <greengagedrum/entry/suspension.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace greengagedrum::entry
{

namespace
{

// The loop's clock starts here, so that "never" lies well before every time.
constexpr base::duration epoch = std::chrono::hours(1);

// Combinations of workspace, tier and route with histograms of their own; each
// takes about 5.5 KiB.
constexpr std::size_t series_most = 256;

base::incarnation new_life()
{
    constexpr unsigned random_bits = 24;
    std::random_device device;
    const auto seconds = static_cast<std::uint64_t>(std::time(nullptr));
    return {(seconds << random_bits) | (device() & ((1U << random_bits) - 1))};
}

traffic::retry_bounds retry_bounds_of(const bounds& from)
{
    return {from.retry_ratio, from.retry_slack, from.retry_window};
}

std::function<base::instant()>
loop_clock(std::chrono::steady_clock::time_point began)
{
    return [began] {
        const auto passed = std::chrono::steady_clock::now() - began;
        return base::instant(
            epoch + std::chrono::duration_cast<base::duration>(passed));
    };
}

} // namespace

entry::entry(const settings& given, reload read_again)
    : own(given), read_again(std::move(read_again)),
      began(std::chrono::steady_clock::now()),
      state{loop_clock(this->began),
            cluster_state(),
            quota::usage_limiter(base::instant(epoch)),
            traffic::scheduler(
                retry_bounds_of(given.bounds),
                {given.data_centre, base::hash_name(given.instance)}),
            decision_log(),
            telemetry::registry(series_most),
            false,
            false,
            given.regions},
      life(new_life()), timer(this->context),
      signals(this->context, SIGTERM, SIGINT, SIGHUP)
{
    this->apply_bounds();
    this->store_answered_at = this->state.clock();
    this->ticked_at = this->state.clock();
    this->suspended = suspended_time();
    this->callers =
        std::make_unique<front>(this->context, given.callers, this->state);
    this->callers->uses_changed = [this] {
        if (this->peers)
            this->peers->tell_soon();
    };
    this->peer_datagrams =
        std::make_unique<peer_socket>(this->context, given.ip, given.peer_port);
    this->peers =
        std::make_unique<peer_link>(given,
                                    this->life,
                                    this->state,
                                    this->told_by_peers(),
                                    this->peer_datagrams->transport());
    this->peer_datagrams->begin(
        [this](std::string_view bytes, const std::string& from) {
            this->peers->on_message(bytes, from);
        },
        [this] { this->peers->wake(); });
    store_events store_told;
    store_told.news = [this](const routing::item_list& items,
                             std::uint64_t as_of,
                             bool whole) {
        this->on_news(items, as_of, whole, "store");
    };
    store_told.part = [this](const routing::item_list& items) {
        this->apply(
            this->state.known.learn(items, 0, false, this->state.clock()),
            "store");
    };
    store_told.failed = [this](const std::string& why) {
        this->on_store_failed(why);
    };
    store_told.answered = [this] { this->on_store_answered(); };
    store_told.may_rest = [this] { return this->peers->store_is_read(); };
    this->store = std::make_unique<store_reader>(
        this->context, given.store, std::move(store_told));
    this->store->set_bound(given.bounds.news());
    this->readiness = std::make_unique<relay::small_server>(
        this->context,
        given.readiness,
        this->state.clock,
        [this](const relay::small_question&) {
            return this->answer_readiness();
        });
    this->control = std::make_unique<relay::small_server>(
        this->context,
        given.control,
        this->state.clock,
        [this](const relay::small_question& asked) {
            return this->answer_control(asked.target);
        });
    this->metrics = std::make_unique<relay::small_server>(
        this->context,
        given.metrics,
        this->state.clock,
        [this](const relay::small_question& asked) {
            if (is_quarantine_question(asked))
                return answer_quarantine(this->state, asked);
            return relay::small_answer{
                200,
                std::string(telemetry::prometheus_content_type),
                this->metrics_text()};
        });
}

peer_events entry::told_by_peers()
{
    peer_events out;
    out.load_changed = [this] { this->callers->place(); };
    out.items = [this](const gossip::item_transfer& got) {
        this->apply(this->state.known.learn(got, this->state.clock()), "peer");
        this->end_pause("peer");
        this->store->known_up_to(this->state.known.as_of());
    };
    out.delegate = [this] { this->callers->delegate(); };
    out.place_alone = [this](std::size_t unheard, const handed_limits* known) {
        this->callers->place_alone(unheard, known);
    };
    out.report = [this] { return this->callers->report_to_dispatcher(); };
    out.replied = [this](const dispatch::dispatcher_reply& what) {
        this->callers->replied(what);
    };
    out.member_reported = [this](base::slot_id member,
                                 const gossip::message& told) {
        this->callers->member_reported(
            member, told.incarnation, told.report, told.upstream_uses);
    };
    out.member_lost = [this](base::slot_id member) {
        this->callers->member_lost(member);
    };
    out.members_unanswered = [this] {
        return this->callers->book().members_to_answer(this->state.clock());
    };
    out.reply = [this](base::slot_id member) {
        return this->callers->book().build_reply(member, this->state.clock());
    };
    return out;
}

void entry::run()
{
    logs::write(logs::level::info,
                "entry",
                "started",
                {{"instance", this->own.instance},
                 {"data_centre", this->own.data_centre},
                 {"callers", base::to_string(this->own.callers)},
                 {"store", base::to_string(this->own.store)},
                 {"life", this->life.value}});
    this->signals.async_wait([this](relay::error_code fault, int number) {
        if (!fault)
            this->on_signal(number);
    });
    this->store->start();
    this->peers->tell_soon();
    this->schedule_tick();
    this->context.run();
    logs::write(logs::level::info,
                "entry",
                "stopped",
                {{"unfinished", this->callers->in_flight()}});
}

void entry::apply_bounds()
{
    this->state.limiter.set_tolerance({this->own.bounds.usage_window,
                                       this->own.bounds.usage_overshoot,
                                       this->own.bounds.usage_slack});
    this->state.scheduler.set_retry_bounds(retry_bounds_of(this->own.bounds));
    if (this->store)
        this->store->set_bound(this->own.bounds.news());
    this->apply_slow_start();
}

void entry::apply_slow_start()
{
    const routing::route_table_ptr& routes = this->state.known.routes();
    if (!routes)
        return;
    const traffic::slow_start_tolerance tolerance{
        this->own.bounds.warmup_overshoot, this->own.bounds.warmup_slack};
    for (const routing::service& one : routes->source().services)
        this->state.scheduler.set_slow_start(
            one.id,
            one.warmup_per_second > 0
                ? traffic::slow_start_sends(one.warmup_per_second, tolerance)
                : 0);
}

// ---- Questions ------------------------------------------------------------

bool entry::ready() const
{
    return !this->state.stopping && this->state.known.routes() != nullptr;
}

relay::small_answer entry::answer_readiness() const
{
    if (this->ready())
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain", "not ready\n"};
}

relay::small_answer entry::answer_control(std::string_view target) const
{
    const auto asked = read_items_target(target);
    if (!asked)
        return {503, "text/plain", "no such question\n"};
    gossip::item_transfer out =
        asked->life ? this->state.known.items_after(
                          *asked->life == this->life ? asked->number : 0)
                    : this->state.known.items_since(asked->number);
    out.incarnation = this->life;
    return {200, "application/octet-stream", gossip::encode(out)};
}

std::string entry::metrics_text() const
{
    telemetry::registry all = this->state.metrics;
    const auto set = [&all](telemetry::gauge what, double value) {
        all.add(telemetry::gauge_set{what, value});
    };
    const base::instant now = this->state.clock();
    set(telemetry::gauge::config_age_seconds,
        placement::seconds_of(now - this->store_answered_at));
    set(telemetry::gauge::config_revision,
        static_cast<double>(this->state.known.configuration_revision()));
    set(telemetry::gauge::requests_waiting,
        static_cast<double>(this->state.scheduler.waiting()));
    set(telemetry::gauge::requests_in_flight,
        static_cast<double>(this->state.scheduler.in_flight()));
    set(telemetry::gauge::peers_linked,
        static_cast<double>(this->peers->alive()));
    set(telemetry::gauge::upstreams_live,
        static_cast<double>(this->state.known.upstreams().usable_count()));
    set(telemetry::gauge::data_centres_evacuated,
        static_cast<double>(this->state.known.upstreams().evacuated().size()));
    set(telemetry::gauge::requests_quarantined,
        static_cast<double>(
            this->state.scheduler.crash_suspects().barred(now).size()));
    set(telemetry::gauge::log_lines_dropped,
        static_cast<double>(logs::dropped_lines() +
                            this->state.log.held_back()));
    set(telemetry::gauge::stopping, this->state.stopping ? 1 : 0);
    return telemetry::prometheus_text(all);
}

} // namespace greengagedrum::entry
