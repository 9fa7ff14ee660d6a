#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/decision_thread.hpp>

#include <algorithm>

namespace greengagedrum::daemon
{

namespace
{
// The longest sleep; the core's own timers shorten it.
constexpr std::chrono::milliseconds sleep_max(100);

// How often peers may hear of this instance's load.
constexpr base::duration load_period = std::chrono::milliseconds(250);
} // namespace

decision_thread::decision_thread(const delivery::scheduler_options& options,
                                 callers::inbox& inbox,
                                 upstreams::directory& known,
                                 peer_sender sender,
                                 load_teller teller)
    : options(options), core(options), events(inbox), directory(known),
      send_to_peer(std::move(sender)), tell_load(std::move(teller)),
      lease(options.desk.lease), last_turn(clock_now())
{
}

decision_thread::~decision_thread()
{
    this->events.close();
    this->join();
}

void decision_thread::record_to(int descriptor)
{
    this->trace.emplace(descriptor, this->options);
}

void decision_thread::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void decision_thread::join()
{
    if (this->thread.joinable())
        this->thread.join();
}

std::chrono::microseconds decision_thread::patience() const
{
    const auto wake = this->core.next_wake();
    if (!wake)
        return sleep_max;
    const base::duration left = *wake - clock_now();
    return std::clamp<std::chrono::microseconds>(
        left, std::chrono::microseconds(0), sleep_max);
}

void decision_thread::run()
{
    std::vector<callers::inbox_item> items;
    while (this->events.drain(items, this->patience())) {
        this->notice_pause();
        for (callers::inbox_item& item : items)
            this->take(item);
        if (items.empty())
            this->step(delivery::tick{});
        items.clear();
        this->tell_load_in_turn();
        this->publish_status();
    }
}

// A process that stood still wakes believing what it knew. What it granted may
// have been granted anew by a successor, so the core hears of the pause before
// anything that came in meanwhile.
void decision_thread::notice_pause()
{
    const base::instant now = clock_now();
    const base::duration gap = now - this->last_turn;
    this->last_turn = now;
    if (gap > this->lease)
        this->step(delivery::process_paused{});
}

void decision_thread::tell_load_in_turn()
{
    const base::instant now = clock_now();
    if (now < this->load_due)
        return;
    this->load_due = now + load_period;
    this->step(delivery::load_due{});
    this->publish_upstreams(now);
}

// With the load, not at each turn: there may be hundreds of them.
void decision_thread::publish_upstreams(base::instant now)
{
    auto views = std::make_shared<const decision_status::upstream_views>(
        this->core.upstreams(now));
    const std::lock_guard lock(this->mutex);
    this->shown.upstreams = std::move(views);
}

void decision_thread::take(callers::inbox_item& item)
{
    if (auto* arrived = std::get_if<callers::arrival>(&item)) {
        this->ports.emplace(arrived->what.request, std::move(arrived->port));
        return this->step(arrived->what);
    }
    if (auto* asked = std::get_if<callers::ticket_arrival>(&item)) {
        this->ports.emplace(asked->what.request, std::move(asked->port));
        this->step(asked->what);
        this->ports.erase(asked->what.request);
        return;
    }
    const auto& event = std::get<delivery::event>(item);
    if (const auto* listed = std::get_if<delivery::instances_listed>(&event))
        this->note_list(listed->list);
    this->step(event);
}

void decision_thread::note_list(const membership::instance_list& list)
{
    this->directory.update(list.instances);
    std::size_t live = 0;
    for (const membership::listed_instance& line : list.instances)
        if (line.type == membership::instance_type::upstream &&
            line.state == membership::listed_state::live)
            ++live;
    const std::lock_guard lock(this->mutex);
    this->shown.upstreams_live = live;
    this->shown.list_revision = list.revision;
}

void decision_thread::step(const delivery::event& what)
{
    const base::instant now = clock_now();
    this->core.step(what, now, this->actions);
    if (this->trace)
        this->trace->record(what, now, this->actions);
    for (const delivery::action& order : this->actions)
        std::visit([this](const auto& concrete) { this->carry_out(concrete); },
                   order);
    this->actions.clear();
}

void decision_thread::direct(base::request_id request, callers::directive what)
{
    const auto found = this->ports.find(request);
    if (found != this->ports.end())
        found->second->give(std::move(what));
}

void decision_thread::carry_out(const delivery::assign_ticket& what)
{
    this->direct(what.request, what);
}

void decision_thread::carry_out(const delivery::start_dispatch& what)
{
    this->direct(what.request, what);
}

void decision_thread::carry_out(const delivery::start_resume& what)
{
    this->direct(what.request, what);
}

void decision_thread::carry_out(const delivery::stop_stream& what)
{
    const auto found = this->ports.find(what.request);
    if (found != this->ports.end())
        found->second->call().stop(what.connection, what.cancel);
}

void decision_thread::carry_out(const delivery::end_answered& what)
{
    this->direct(what.request, what);
    this->ports.erase(what.request);
}

void decision_thread::carry_out(const delivery::end_failed& what)
{
    this->direct(what.request, what);
    this->ports.erase(what.request);
}

void decision_thread::carry_out(const delivery::send_claim_message& what)
{
    this->send_to_peer(what);
}

void decision_thread::carry_out(const delivery::send_load_digest& what)
{
    this->tell_load(what.digest);
}

void decision_thread::publish_status()
{
    const std::lock_guard lock(this->mutex);
    this->shown.counters = this->core.counters();
    this->shown.in_flight = this->core.in_flight();
    this->shown.waiting = this->core.waiting();
    this->shown.stopping = this->core.stopping();
}

decision_status decision_thread::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->shown;
}

} // namespace greengagedrum::daemon
