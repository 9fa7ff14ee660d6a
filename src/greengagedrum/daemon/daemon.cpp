#include <greengagedrum/base/incarnation_started_at.hpp>
#include <greengagedrum/callers/context.hpp>
#include <greengagedrum/callers/routes.hpp>
#include <greengagedrum/daemon/admin_routes.hpp>
#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/daemon.hpp>
#include <greengagedrum/daemon/decision_thread.hpp>
#include <greengagedrum/daemon/document_duty.hpp>
#include <greengagedrum/daemon/measurements.hpp>
#include <greengagedrum/daemon/part_options.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/daemon/platform_watch.hpp>
#include <greengagedrum/daemon/status_text.hpp>
#include <greengagedrum/http/server.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>
#include <greengagedrum/upstreams/report_poller.hpp>

#include <unistd.h>

namespace greengagedrum::daemon
{

namespace
{

constexpr std::chrono::milliseconds stop_poll(5);
constexpr std::chrono::milliseconds last_writes(2000);
constexpr std::size_t measurements_max = 8192; // waiting for the collector

base::incarnation new_incarnation()
{
    return base::incarnation_started_at(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

// Members end in the opposite order: callers first, decisions last.
struct daemon::parts {
    explicit parts(const settings::daemon_settings& given)
        : settings(given), life(new_incarnation()),
          tickets(ticket_key_prefix + given.peer_key, previous_key(given)),
          collector(given.metric_series_max, measurements_max),
          events(given.decision_ring), pool(pool_of(given)),
          decisions(
              options_of(given, this->life),
              this->events,
              this->directory,
              [this](const delivery::send_claim_message& what) {
                  this->peers.send_claim(what);
              },
              [this](capacity::load_digest whole) {
                  this->peers.tell_load(std::move(whole));
              }),
          documents(this->config, this->events),
          peers(this->peer_options(), this->events, this->documents),
          spread(documents_of(given, this->life), this->documents, this->peers),
          poller(polls_of(given, this->life), this->directory, this->events),
          watch(
              texts_of(given.platform_addresses),
              this->peers,
              [this] { return this->watches_list(); },
              this->life.value),
          shared{this->events,
                 this->pool,
                 this->directory,
                 this->config,
                 this->stopping,
                 this->tickets,
                 this->collector},
          caller_side(caller_server(given)), admin_side(admin_server())
    {
    }

    peer_duty_options peer_options();
    bool watches_list() const;
    bool ready() const;
    telemetry::registry measured();
    std::string status();
    bool idle();
    void finish_answers(std::chrono::steady_clock::time_point limit);

    settings::daemon_settings settings;
    base::incarnation life;
    std::atomic<bool> stopping{false};
    std::atomic<bool> drained{false};
    std::atomic<bool> hurried{false};
    idempotency::ticket_codec tickets;
    telemetry::collector collector;
    callers::inbox events;
    callers::snapshot_holder config;
    upstreams::connection_pool pool;
    upstreams::directory directory;
    decision_thread decisions;
    config_thread documents;
    peer_duty peers;
    document_duty spread;
    upstreams::report_poller poller;
    platform_watch watch;
    callers::context shared;
    http::server caller_side;
    http::server admin_side;
};

peer_duty_options daemon::parts::peer_options()
{
    peer_duty_options out = peers_of(this->settings, this->life);
    out.documents_came = [this](base::slot_id from) {
        this->spread.documents_came(from);
    };
    return out;
}

// The guard by the platform's list rests on its own fresh readings of it.
bool daemon::parts::watches_list() const
{
    return this->spread.watching() ||
           this->settings.claim_guard ==
               idempotency::lease_condition::platform_list;
}

bool daemon::parts::ready() const
{
    return !this->stopping && this->spread.ready() &&
           this->config.get() != nullptr;
}

telemetry::registry daemon::parts::measured()
{
    current_facts facts;
    facts.core = this->decisions.status();
    facts.ring_depth = this->events.size();
    facts.config_revision = this->documents.revision();
    const document_status spread = this->spread.status();
    facts.config_age = std::chrono::duration_cast<std::chrono::milliseconds>(
        spread.ages.confirmed.value_or(clock_now().time_since_epoch()));
    facts.documents_refused = this->documents.refused();
    facts.platform_calls = this->watch.calls() + spread.counters.service_calls;
    facts.platform_failures =
        this->watch.failures() + spread.counters.service_failures;
    facts.log_lines_dropped = logs::dropped_lines();
    facts.stopping = this->stopping;
    facts.peers = this->peers.status();
    telemetry::registry out = this->collector.snapshot();
    add_current(facts, out);
    return out;
}

std::string daemon::parts::status()
{
    status_facts facts;
    facts.instance = this->settings.instance;
    facts.data_centre = this->settings.data_centre;
    facts.life = this->life;
    facts.ready = this->ready();
    facts.stopping = this->stopping;
    facts.config_revision = this->documents.revision();
    const config::snapshot_ptr in_force = this->config.get();
    facts.in_force_revision = in_force ? in_force->rev : 0;
    facts.refusals = this->documents.read(
        [](const config::store& store) { return store.refusals(); });
    facts.warnings = this->documents.read(
        [](const config::store& store) { return store.warnings(); });
    facts.spread = this->spread.status();
    facts.core = this->decisions.status();
    facts.peers = this->peers.status();
    facts.superseded = this->peers.superseded();
    facts.in_force = this->config.get();
    facts.platform_calls =
        this->watch.calls() + facts.spread.counters.service_calls;
    return status_text(facts, this->measured());
}

// True only once the core has seen the stop: an arrival still in the ring
// when the stop began must be counted as in flight.
bool daemon::parts::idle()
{
    const decision_status seen = this->decisions.status();
    return seen.stopping && seen.in_flight == 0;
}

// The core is done with an answer before its caller has read it: one that
// reads slowly keeps its connection until the bound.
void daemon::parts::finish_answers(std::chrono::steady_clock::time_point limit)
{
    this->caller_side.stop_accepting();
    while (this->caller_side.open_connections() > 0 && !this->hurried &&
           std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(stop_poll);
}

daemon::daemon(const settings::daemon_settings& settings)
    : own(std::make_unique<parts>(settings))
{
}

daemon::~daemon()
{
    this->own->watch.stop();
    this->hurry();
    this->stop(std::chrono::milliseconds(0));
}

bool daemon::start(std::string& error)
{
    parts& all = *this->own;
    callers::add_routes(
        all.caller_side.routes(), all.shared, all.settings.body_bytes_max);
    add_admin_routes(
        all.admin_side.routes(),
        admin_view{
            [this] { return this->ready(); },
            [&all] { return all.status(); },
            [&all] { return telemetry::prometheus_text(all.measured()); },
            [&all] {
                all.stopping = true;
                all.drained = true;
            }});
    if (all.settings.record_trace == settings::trace_target::standard_output)
        all.decisions.record_to(STDOUT_FILENO);
    all.decisions.start();
    all.documents.start();
    if (!all.peers.start()) {
        error = "peer address " + base::to_string(all.settings.peer_address) +
                " can't be bound";
        return false;
    }
    all.spread.start();
    all.poller.start();
    all.watch.start();
    const std::string admin = base::to_string(all.settings.admin_address);
    if (!all.admin_side.start(admin)) {
        error = "admin address " + admin + " can't be bound";
        return false;
    }
    const std::string callers = base::to_string(all.settings.listen_address);
    if (!all.caller_side.start(callers)) {
        error = "listen address " + callers + " can't be bound";
        return false;
    }
    return true;
}

// The order keeps the promise that nothing in flight is cut: readiness fails
// first, then no request is taken, then all in flight end and their answers
// are written, and only then do threads and sockets go.
bool daemon::stop(std::chrono::milliseconds bound)
{
    parts& all = *this->own;
    all.stopping = true;
    all.peers.start_leaving();
    callers::push_surely(all.events, delivery::stop_begun{});
    const auto limit = std::chrono::steady_clock::now() + bound;
    while (!all.idle() && !all.hurried &&
           std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(stop_poll);
    const bool whole = all.idle();
    if (!whole)
        callers::push_surely(all.events, delivery::stop_forced{});
    all.finish_answers(limit);
    all.caller_side.stop(last_writes);
    all.admin_side.stop(std::chrono::milliseconds(0));
    all.watch.stop();
    all.spread.stop();
    all.poller.stop();
    all.peers.stop();
    all.events.close();
    all.decisions.join();
    return whole;
}

bool daemon::drain_asked() const
{
    return this->own->drained;
}

void daemon::hurry()
{
    this->own->hurried = true;
}

std::string daemon::caller_address() const
{
    return this->own->caller_side.address();
}

std::string daemon::admin_address() const
{
    return this->own->admin_side.address();
}

std::string daemon::peer_address() const
{
    return this->own->peers.address();
}

bool daemon::ready() const
{
    return this->own->ready();
}

} // namespace greengagedrum::daemon
