#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/config_thread.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/logs/write.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::daemon
{

namespace
{

constexpr base::duration longest_wait(100'000); // far below the lease
constexpr base::duration news_gap(100'000);     // between heartbeats at once
constexpr base::duration publish_every(500'000);
constexpr base::duration first_patience(1'500'000);
constexpr int last_turns = 5; // for the leaving heartbeat to be written
constexpr base::duration last_wait(2'000);

std::chrono::milliseconds in_milliseconds(base::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace

peer_duty::peer_duty(const peer_duty_options& given,
                     callers::inbox& inbox,
                     config_thread& store)
    : options(given), events(inbox), documents(store), ring(given.ring),
      roster(given.roster), links(this->mesh_of(given), this->events_of_mesh())
{
}

peer_duty::~peer_duty()
{
    this->stop();
}

peers::mesh_settings peer_duty::mesh_of(const peer_duty_options& given)
{
    peers::mesh_settings out;
    out.links.own = {given.roster.slot, given.roster.incarnation};
    out.links.key = given.key;
    out.links.previous_key = given.previous_key;
    out.links.known_life = [this](base::slot_id slot) {
        return this->roster.highest_incarnation(slot);
    };
    out.seed = given.seed;
    out.clock = clock_now;
    return out;
}

peers::mesh_events peer_duty::events_of_mesh()
{
    peers::mesh_events out;
    out.received = [this](peers::message&& got) {
        this->receive(std::move(got));
    };
    out.link_up = [this](const peers::sender_identity& peer) {
        this->link_up(peer);
    };
    out.link_down = [this](base::slot_id slot) { this->link_down(slot); };
    out.outranked = [this](base::incarnation life) {
        this->roster.learn_incarnation(this->options.roster.slot, life);
    };
    return out;
}

bool peer_duty::start()
{
    if (!this->links.start(this->options.address))
        return false;
    this->started = clock_now();
    this->last_turn = this->started;
    this->thread = std::thread([this] { this->run(); });
    return true;
}

void peer_duty::stop()
{
    this->stopping = true;
    this->links.wake();
    if (this->thread.joinable())
        this->thread.join();
    this->ring.close();
}

bool peer_duty::give(order&& what)
{
    const bool taken = this->ring.push(std::move(what));
    if (taken)
        this->links.wake();
    return taken;
}

bool peer_duty::send_claim(const delivery::send_claim_message& what)
{
    return this->give(what);
}

bool peer_duty::tell_load(capacity::load_digest whole)
{
    return this->give(std::move(whole));
}

bool peer_duty::offer_list(membership::instance_list list)
{
    return this->give(std::move(list));
}

bool peer_duty::platform_answered(base::instant asked, bool names_us)
{
    return this->give(platform_reading{asked, names_us});
}

bool peer_duty::is_named_by(const membership::instance_list& list) const
{
    if (list.revision < this->status().list_revision)
        return false; // of a service that failed over to an older copy
    const std::string own = this->address();
    return std::any_of(
        list.instances.begin(), list.instances.end(), [&](const auto& line) {
            return line.type == membership::instance_type::entry &&
                   line.state == membership::listed_state::live &&
                   base::slot_id(line.name) == this->options.roster.slot &&
                   line.address == own;
        });
}

bool peer_duty::ask_documents(base::slot_id slot, std::uint64_t since)
{
    return this->give(document_question{slot, since});
}

bool peer_duty::start_leaving()
{
    return this->give(leave{});
}

bool peer_duty::paused() const
{
    const base::duration since = clock_now() - this->last_turn.load();
    return this->is_paused || since > this->options.roster.lease;
}

peer_status peer_duty::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->shown;
}

std::vector<membership::peer_view> peer_duty::seen_peers() const
{
    const std::lock_guard lock(this->mutex);
    return this->shown.peers;
}

// ---- The duty's own thread ------------------------------------------------

void peer_duty::run()
{
    while (!this->stopping)
        this->turn();
    this->roster.start_leaving();
    this->links.broadcast(this->compose());
    for (int left = last_turns; left > 0; --left)
        this->links.poll_once(last_wait);
    this->links.close_all();
}

void peer_duty::turn()
{
    const base::duration until_beat = this->next_beat - clock_now();
    this->links.poll_once(
        std::clamp(until_beat, base::duration::zero(), longest_wait));
    this->take_orders();
    const base::instant now = clock_now();
    this->roster.tick(now);
    this->follow_pause();
    this->follow_changes();
    this->links_changed = this->on_demand.expire(now) || this->links_changed;
    if (std::exchange(this->links_changed, false))
        this->want_links();
    this->speak(now);
    this->spread_list(now);
    this->tell_load_in_turn(now);
    this->is_superseded = this->roster.superseded();
    if (now - this->started > first_patience &&
        this->links.linked_peers().empty())
        this->is_consulted = true;
    this->publish(now);
    this->last_turn = now; // after `is_paused`, which `now` may have set
}

void peer_duty::take_orders()
{
    std::vector<order> orders;
    this->ring.drain(orders, base::duration::zero());
    for (order& one : orders)
        std::visit([this](auto& what) { this->take(what); }, one);
}

void peer_duty::take(delivery::send_claim_message& what)
{
    const base::instant now = clock_now();
    peers::payload body =
        std::visit([](auto& claim) { return peers::payload(std::move(claim)); },
                   what.body);
    this->on_demand.used(what.to, now);
    if (this->links.send(what.to, body))
        return;
    const bool waits = !this->links.linked(what.to) &&
                       this->on_demand.wait_for(what.to, std::move(body), now);
    this->links_changed = this->links_changed || waits;
    this->claims_unsent += waits ? 0 : 1;
}

void peer_duty::take(capacity::load_digest& whole)
{
    this->load_now = std::move(whole);
}

void peer_duty::take(membership::instance_list& list)
{
    this->adopt(std::move(list));
}

void peer_duty::take(document_question& what)
{
    this->links.send(what.slot, config::document_request{what.since});
}

void peer_duty::take(platform_reading& what)
{
    this->roster.on_platform_response(what.asked);
    if (what.names_us)
        this->push_or_drop(delivery::own_listing_read{what.asked});
}

void peer_duty::take(leave&)
{
    this->roster.start_leaving();
    this->leaving_untold = true;
}

void peer_duty::adopt(membership::instance_list list)
{
    if (!this->roster.update_list(std::move(list), clock_now()))
        return;
    this->links_changed = true;
    callers::push_surely(this->events,
                         delivery::instances_listed{this->roster.list()});
}

// What waits in the links was sent before we woke; only a fresh link shows
// that a peer is there now (membership::roster::pauses).
void peer_duty::follow_pause()
{
    this->is_paused = this->roster.paused();
    const std::uint32_t pauses = this->roster.pause_count();
    if (std::exchange(this->pauses_seen, pauses) == pauses)
        return;
    logs::write(logs::level::warning, "peers", "paused", {{"count", pauses}});
    this->links.close_all();
}

void peer_duty::follow_changes()
{
    for (const membership::state_change& change : this->roster.take_changes()) {
        this->links_changed = true;
        if (change.state == membership::peer_state::gone)
            callers::push_surely(this->events,
                                 delivery::peer_lost{change.slot});
    }
}

void peer_duty::want_links()
{
    std::vector<peers::peer_target> targets;
    for (membership::link_target& to : this->roster.links_wanted())
        targets.push_back({to.slot, std::move(to.address), false});
    for (const base::slot_id slot : this->on_demand.slots()) {
        const bool chosen =
            std::any_of(targets.begin(), targets.end(), [slot](const auto& to) {
                return to.slot == slot;
            });
        if (chosen)
            continue;
        for (const auto& line : this->roster.list().instances)
            if (line.type == membership::instance_type::entry &&
                base::slot_id(line.name) == slot)
                targets.push_back({slot, line.address, true});
    }
    this->links.set_wanted(targets);
}

membership::heartbeat peer_duty::compose()
{
    return this->roster.next_message(this->documents.revision(), this->contact);
}

bool peer_duty::has_news() const
{
    return this->leaving_untold || this->roster.heartbeat_is_urgent() ||
           this->told_config != this->documents.revision() ||
           this->told_list != this->roster.list().revision ||
           this->told_contact != this->contact;
}

void peer_duty::speak(base::instant now)
{
    const bool at_once = this->has_news() && now - this->last_beat >= news_gap;
    if (now < this->next_beat && !at_once)
        return;
    const base::duration interval = this->roster.current_intervals().heartbeat;
    this->links.set_interval(in_milliseconds(interval));
    const auto beat = this->compose();
    this->links.broadcast(beat);
    this->told_config = beat.config_revision;
    this->told_list = beat.list_revision;
    this->told_contact = beat.platform;
    this->leaving_untold = false;
    this->last_beat = now;
    this->next_beat = now + interval;
}

void peer_duty::spread_list(base::instant now)
{
    const auto behind = this->roster.list_receivers(now);
    if (!behind.empty())
        this->links.send_all(behind, this->roster.list());
}

void peer_duty::tell_load_in_turn(base::instant now)
{
    if (!this->load_now || now < this->next_load)
        return;
    this->next_load = now + this->roster.current_intervals().load_digest;
    const auto digest = this->load.next(*this->load_now);
    if (!digest)
        return;
    std::vector<base::slot_id> near;
    for (const membership::peer_view& peer : this->roster.peers(now))
        if (peer.linked && peer.data_centre == this->options.roster.data_centre)
            near.push_back(peer.slot);
    this->links.send_all(near, *digest);
}

bool peer_duty::is_near(base::slot_id slot) const
{
    return this->roster.data_centre_of(slot) ==
           this->options.roster.data_centre;
}

void peer_duty::link_up(const peers::sender_identity& peer)
{
    const base::instant now = clock_now();
    this->roster.link_up(peer.slot, peer.life, now);
    this->links.send(peer.slot, this->compose());
    if (this->load_now && this->is_near(peer.slot))
        this->links.send(peer.slot, this->load.whole());
    for (const peers::payload& body : this->on_demand.take(peer.slot, now))
        this->links.send(peer.slot, body);
    logs::write(logs::level::info,
                "peers",
                "link_up",
                {{"slot", peer.slot.value}, {"life", peer.life.value}});
}

void peer_duty::link_down(base::slot_id slot)
{
    this->roster.link_down(slot, clock_now());
    logs::write(
        logs::level::info, "peers", "link_down", {{"slot", slot.value}});
}

void peer_duty::publish(base::instant now)
{
    if (now < this->next_publish)
        return;
    this->next_publish = now + publish_every;
    peer_status next;
    next.peers = this->roster.peers(now);
    next.counters = this->links.counters();
    next.rank = this->roster.rank();
    next.alive = this->roster.alive_count();
    next.others_listed = this->roster.listed_peer_count();
    next.list_revision = this->roster.list().revision;
    next.strangers_refused = this->links.strangers_refused();
    next.events_dropped = this->events_dropped;
    next.claims_unsent = this->claims_unsent;
    next.pauses = this->roster.pause_count();
    const std::lock_guard lock(this->mutex);
    this->shown = std::move(next);
}

} // namespace greengagedrum::daemon
