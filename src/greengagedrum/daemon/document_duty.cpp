#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/document_duty.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/logs/write.hpp>

#include <utility>

namespace greengagedrum::daemon
{

namespace
{

constexpr std::chrono::milliseconds pace(50);

// Longer than a set takes to be checked; the next question then knows of it.
constexpr std::chrono::milliseconds apply_patience(500);

config::peer_view view_of(const membership::peer_view& peer,
                          base::data_centre_id own)
{
    return {peer.slot,
            peer.data_centre == own,
            peer.config_revision,
            peer.platform};
}

double draw(std::mt19937_64& generator)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

} // namespace

document_duty::document_duty(const document_duty_options& given,
                             config_thread& store,
                             peer_duty& linked)
    : options(given), documents(store), peers(linked),
      service(given.platform_addresses), decisions(given.spread),
      step_random(given.seed), call_random(given.seed + 1)
{
}

document_duty::~document_duty()
{
    this->stop();
}

void document_duty::start()
{
    this->stepping = std::thread([this] { this->run(); });
    this->caller = std::thread([this] { this->call_in_turn(); });
}

void document_duty::stop()
{
    this->service.stop();
    this->calls.close();
    this->events.close();
    if (this->stepping.joinable())
        this->stepping.join();
    if (this->caller.joinable())
        this->caller.join();
}

void document_duty::documents_came(base::slot_id from)
{
    this->tell(config::peer_answered{from});
}

// Lost when the ring is full: the spreader then takes that source for silent
// and asks again.
void document_duty::tell(const config::spread_event& event)
{
    [[maybe_unused]] const bool told =
        this->events.push(config::spread_event(event));
}

document_status document_duty::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->shown;
}

// ---- The stepping thread --------------------------------------------------

void document_duty::run()
{
    std::vector<config::spread_event> came;
    base::instant next_tick = clock_now();
    while (this->events.drain(came, pace)) {
        for (const config::spread_event& event : came)
            this->step(event);
        came.clear();
        if (clock_now() < next_tick)
            continue;
        next_tick = clock_now() + pace;
        this->tick();
        this->publish();
    }
}

void document_duty::tick()
{
    std::vector<config::peer_view> live;
    bool others_listed = false;
    for (const membership::peer_view& peer : this->peers.seen_peers()) {
        others_listed = others_listed || peer.listed;
        if (peer.linked && peer.state == membership::peer_state::alive)
            live.push_back(view_of(peer, this->options.data_centre));
    }
    this->step(
        config::spread_tick{live, draw(this->step_random), others_listed});
}

void document_duty::step(const config::spread_event& event)
{
    std::vector<config::spread_action> out;
    this->decisions.step(event, this->held(), clock_now(), out);
    for (const config::spread_action& action : out)
        std::visit([this](const auto& what) { this->carry_out(what); }, action);
}

void document_duty::carry_out(const config::ask_peer& what)
{
    if (!this->peers.ask_documents(what.slot, what.since))
        this->step(config::peer_failed{what.slot});
}

void document_duty::carry_out(const config::ask_service& what)
{
    if (!this->calls.push(config::ask_service(what)))
        this->step(config::service_failed{what.call, draw(this->step_random)});
}

void document_duty::carry_out(const config::drop_service_call& what)
{
    if (this->calling == what.call)
        this->service.give_up();
}

config::held_state document_duty::held() const
{
    return this->documents.read([](const config::store& store) {
        return config::held_state{
            store.revision(), store.complete(), store.wants_history()};
    });
}

void document_duty::publish()
{
    const base::instant now = clock_now();
    document_status next{this->decisions.ready(),
                         this->decisions.watching(),
                         this->decisions.contact(now),
                         this->decisions.ages(now),
                         this->decisions.counters()};
    this->peers.tell_contact(next.contact);
    this->is_watching = next.watching;
    const bool first = next.ready && !this->is_ready.exchange(next.ready);
    if (first)
        logs::write(logs::level::info, "daemon", "ready");
    const bool lost = next.contact == base::platform_reachability::unreachable;
    if (std::exchange(this->was_lost, lost) != lost)
        logs::write(lost ? logs::level::warning : logs::level::info,
                    "platform",
                    lost ? "platform_down" : "platform_up",
                    {{"watch", "documents"},
                     {"failures", next.counters.service_failures}});
    const std::lock_guard lock(this->mutex);
    this->shown = next;
}

// ---- The calling thread ---------------------------------------------------

void document_duty::call_in_turn()
{
    constexpr std::chrono::seconds patience(1);
    std::vector<config::ask_service> asked;
    while (this->calls.drain(asked, patience)) {
        for (const config::ask_service& one : asked)
            this->call(one);
        asked.clear();
    }
}

// A call that was given up answers too, late; the spreader knows its number
// and doesn't take it for the one it waits for.
void document_duty::call(const config::ask_service& what)
{
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(what.wait);
    this->calling = what.call;
    auto received = this->service.documents(what.since, wait);
    this->calling = 0;
    if (!received) {
        this->tell(config::service_failed{what.call, draw(this->call_random)});
        return;
    }
    const std::uint64_t revision = received->revision;
    if (!received->documents.empty() || received->complete) {
        this->documents.offer(std::move(*received));
        this->documents.wait_applied(apply_patience);
    }
    this->tell(config::service_answered{what.call, revision});
}

} // namespace greengagedrum::daemon
