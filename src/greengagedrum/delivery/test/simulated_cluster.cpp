#include <greengagedrum/delivery/test/simulated_cluster.hpp>

#include <algorithm>
#include <cstdio>

namespace greengagedrum::delivery
{

namespace
{

constexpr base::duration heartbeat_interval = 500ms;
constexpr base::duration longest_sleep = 100ms; // of the decision thread

config::upstream_entry make_upstream(const std::string& name)
{
    config::upstream_entry out;
    out.name = name;
    out.id = base::upstream_id(name);
    out.data_centre = base::data_centre_id("zona-4");
    out.upstream_class = base::upstream_class_id("photo");
    out.models = {"compliance"};
    out.max_in_flight = 12;
    return out;
}

config::snapshot_ptr make_config()
{
    config::snapshot out;
    out.fleet.upstreams = {make_upstream("photo-1"), make_upstream("photo-2")};
    config::data_centre centre;
    centre.name = "zona-4";
    centre.id = base::data_centre_id("zona-4");
    for (const char* name : cluster_slots)
        centre.slots.push_back({name, base::slot_id(name)});
    out.fleet.data_centres = {centre};
    return std::make_shared<const config::snapshot>(out);
}

} // namespace

simulated_cluster::simulated_cluster(std::uint64_t seed)
    : seed(seed), generator(seed)
{
    for (const char* name : cluster_slots)
        this->start_entry(base::slot_id(name));
}

// The windows are short so that keys are granted again soon after a restart.
scheduler_options simulated_cluster::options_for(base::slot_id slot,
                                                 base::incarnation incarnation,
                                                 std::uint64_t seed)
{
    scheduler_options out;
    out.slot = slot;
    out.incarnation = incarnation;
    out.data_centre = base::data_centre_id("zona-4");
    out.seed = seed;
    out.desk.retry_window = 10s;
    out.desk.claim_age = 6s;
    out.placement.patience_floor = 1s;
    return out;
}

simulated_entry& simulated_cluster::start_entry(base::slot_id slot)
{
    auto item = std::make_unique<simulated_entry>();
    item->slot = slot;
    item->incarnation.value = ++this->last_incarnation;
    scheduler_options options = options_for(
        slot, item->incarnation, this->seed + this->last_incarnation);
    options.desk.started = this->now;
    options.desk.started_wall = idempotency::wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->now.time_since_epoch()));
    item->core = std::make_unique<scheduler>(options);
    item->last_run_at = this->now;
    item->known_incarnations[slot] = item->incarnation;
    this->entries.push_back(std::move(item));
    this->publish_config(*this->entries.back());
    return *this->entries.back();
}

void simulated_cluster::publish_config(simulated_entry& to)
{
    this->step(to, config_changed{make_config()});
    this->list_upstreams(to, true);
}

void simulated_cluster::list_upstreams(simulated_entry& to, bool listed)
{
    membership::instance_list list;
    if (!listed)
        return this->step(to, instances_listed{list});
    for (const char* name : {"photo-1", "photo-2"})
        list.instances.push_back({name,
                                  membership::instance_type::upstream,
                                  "zona-4",
                                  "127.0.0.1:1",
                                  membership::listed_state::live});
    this->step(to, instances_listed{list});
}

void simulated_cluster::kill(simulated_entry& item)
{
    item.dead = true;
}

void simulated_cluster::cut_link(const simulated_entry& left,
                                 const simulated_entry& right)
{
    this->cut_links.insert({&left, &right});
    this->cut_links.insert({&right, &left});
}

std::vector<simulated_entry*> simulated_cluster::live_entries()
{
    std::vector<simulated_entry*> out;
    for (const auto& item : this->entries)
        if (!item->dead)
            out.push_back(item.get());
    return out;
}

std::uint64_t simulated_cluster::random_below(std::uint64_t bound)
{
    return this->generator() % bound;
}

bool simulated_cluster::chance(double probability)
{
    return std::uniform_real_distribution<double>()(this->generator) <
           probability;
}

std::string simulated_cluster::failure_context() const
{
    return "seed " + std::to_string(this->seed) + ", time " +
           std::to_string(this->now.time_since_epoch().count());
}

std::size_t simulated_cluster::add_key(const std::string& text)
{
    subject_record added;
    added.claim = idempotency::caller_key{base::workspace_id("booths"), text};
    added.first_sent_at = this->now;
    this->subjects.push_back(added);
    return this->subjects.size() - 1;
}

// Adds a key in UUIDv7 format, which contains the time of issue.
std::size_t simulated_cluster::add_dated_key()
{
    const auto stamp = static_cast<unsigned long long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->now.time_since_epoch())
            .count());
    std::array<char, 64> text{};
    static_cast<void>(
        std::snprintf(text.data(),
                      text.size(),
                      "%08llx-%04llx-7000-8000-%012x",
                      stamp >> 16U,
                      stamp & 0xffffU,
                      static_cast<unsigned>(this->subjects.size())));
    return this->add_key(text.data());
}

std::size_t simulated_cluster::add_ticket(simulated_entry& home)
{
    this->step(home, ticket_wanted{base::request_id{++this->last_request}});
    REQUIRE(this->assigned_ticket);
    subject_record added;
    added.claim = *this->assigned_ticket;
    added.first_sent_at = this->now;
    this->subjects.push_back(added);
    return this->subjects.size() - 1;
}

void simulated_cluster::send_request(simulated_entry& entry,
                                     std::size_t subject)
{
    request_arrived arrival;
    arrival.request = base::request_id{++this->last_request};
    arrival.spec.workspace = base::workspace_id("booths");
    arrival.spec.upstream_class = base::upstream_class_id("photo");
    arrival.spec.model = base::model_id("compliance");
    arrival.spec.repetition = base::repetition::at_most_once;
    arrival.spec.prompt_tokens = 100;
    arrival.spec.output_tokens = 20;
    arrival.deadline_after = 5s;
    arrival.body_digest = subject;
    arrival.subject = this->subjects[subject].claim;
    entry.requests[arrival.request] = {subject, false};
    this->step(entry, arrival);
}

void simulated_cluster::schedule(base::duration delay, scheduled_event item)
{
    this->scheduled.emplace(this->now + delay, std::move(item));
}

base::duration simulated_cluster::random_latency()
{
    const std::uint64_t bound =
        this->chance(this->fault_probability / 4) ? 4'000'000 : 3000;
    return base::duration(static_cast<std::int64_t>(this->random_below(bound)));
}

void simulated_cluster::send_message(simulated_entry& from,
                                     simulated_entry& to,
                                     scheduled_event item)
{
    if (this->cut_links.contains({&from, &to}) ||
        this->chance(this->fault_probability))
        return;
    item.to = &to;
    item.from = &from;
    if (this->chance(this->fault_probability))
        this->schedule(this->random_latency(), item);
    this->schedule(this->random_latency(), std::move(item));
}

void simulated_cluster::advance(base::duration step)
{
    this->now += step;
    if (this->now >= this->next_heartbeat_at)
        this->send_heartbeats();
    while (!this->scheduled.empty() &&
           this->scheduled.begin()->first <= this->now) {
        const scheduled_event item = this->scheduled.begin()->second;
        this->scheduled.erase(this->scheduled.begin());
        if (item.to->dead)
            continue;
        if (item.to->paused)
            this->undelivered[item.to].push_back(item);
        else
            this->deliver(item);
    }
    for (simulated_entry* item : this->live_entries())
        if (!item->paused)
            this->run_once(*item);
}

// One iteration of the decision thread, which reports a pause of the process
// before any other event.
void simulated_cluster::run_once(simulated_entry& entry)
{
    const bool was_paused =
        this->now - entry.last_run_at > idempotency::desk_options{}.lease;
    if (was_paused)
        this->step(entry, process_paused{});
    for (const scheduled_event& item :
         std::exchange(this->undelivered[&entry], {}))
        this->deliver(item);
    const auto wake = entry.core->next_wake();
    if ((wake && *wake <= this->now) ||
        this->now - entry.last_run_at >= longest_sleep)
        this->step(entry, tick{});
    entry.last_run_at = this->now;
    if (this->now >= entry.forced_stop_at)
        this->step(entry, stop_forced{});
    if (entry.core->stopping() && entry.core->in_flight() == 0)
        entry.dead = true;
}

void simulated_cluster::deliver(const scheduled_event& item)
{
    if (const auto* message = std::get_if<heartbeat_message>(&item.payload))
        return this->on_heartbeat(*item.to, *message);
    // A pause is reported before the event that woke the thread.
    if (this->now - item.to->last_run_at > idempotency::desk_options{}.lease) {
        item.to->last_run_at = this->now;
        this->step(*item.to, process_paused{});
    }
    this->step(*item.to, std::get<event>(item.payload));
}

void simulated_cluster::on_heartbeat(simulated_entry& entry,
                                     const heartbeat_message& message)
{
    for (const auto& known : message.body.known_incarnations) {
        base::incarnation& highest = entry.known_incarnations[known.slot];
        highest = std::max(highest, known.incarnation);
    }
    entry.received_heartbeats[message.body.slot] = {message.body.incarnation,
                                                    message.sent_at};
    std::optional<base::instant> as_of;
    if (message.echo_incarnation == entry.incarnation)
        as_of = message.echoed_sent_at;
    this->step(entry, peer_heartbeat{message.body, as_of});
}

void simulated_cluster::send_heartbeats()
{
    this->next_heartbeat_at = this->now + heartbeat_interval;
    const auto live = this->live_entries();
    for (simulated_entry* from : live) {
        for (simulated_entry* to : live) {
            if (from == to || from->paused || from->slot == to->slot)
                continue;
            heartbeat_message out;
            out.body.slot = from->slot;
            out.body.incarnation = from->incarnation;
            for (const auto& [slot, incarnation] : from->known_incarnations)
                out.body.known_incarnations.push_back({slot, incarnation});
            out.sent_at = this->now;
            const auto heard = from->received_heartbeats.find(to->slot);
            if (heard != from->received_heartbeats.end()) {
                out.echo_incarnation = heard->second.incarnation;
                out.echoed_sent_at = heard->second.sent_at;
            }
            this->send_message(*from, *to, {nullptr, nullptr, out});
        }
    }
}

void simulated_cluster::drain(base::duration span)
{
    this->heal_links();
    this->fault_probability = 0;
    for (simulated_entry* item : this->live_entries())
        item->paused = false;
    for (base::duration left = span; left > 0ms; left -= 20ms)
        this->advance(20ms);
    for (const auto& item : this->entries) {
        if (item->dead)
            continue;
        CHECK_MESSAGE(item->core->in_flight() == 0, this->failure_context());
        for (const auto& [id, request] : item->requests)
            CHECK_MESSAGE(request.ended, this->failure_context());
    }
}

} // namespace greengagedrum::delivery
