#include <greengagedrum/delivery/test/joined_entries.hpp>

#include <algorithm>
#include <cstdio>

namespace greengagedrum::delivery
{

namespace
{

constexpr base::duration beat_period = 500ms;
constexpr base::duration turn_period = 100ms; // the longest sleep of a daemon

config::upstream_entry engine(const std::string& name)
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

config::snapshot_ptr published()
{
    config::snapshot out;
    out.fleet.upstreams = {engine("photo-1"), engine("photo-2")};
    config::data_centre centre;
    centre.name = "zona-4";
    centre.id = base::data_centre_id("zona-4");
    for (const char* name : joined_slots)
        centre.slots.push_back({name, base::slot_id(name)});
    out.fleet.data_centres = {centre};
    return std::make_shared<const config::snapshot>(out);
}

} // namespace

joined_entries::joined_entries(std::uint64_t seed) : seed(seed), generator(seed)
{
    for (const char* name : joined_slots)
        this->start(base::slot_id(name));
}

// Short spans, so that keys are granted again soon after a restart.
scheduler_options joined_entries::options_for(base::slot_id slot,
                                              base::incarnation life,
                                              std::uint64_t seed)
{
    scheduler_options out;
    out.slot = slot;
    out.incarnation = life;
    out.data_centre = base::data_centre_id("zona-4");
    out.seed = seed;
    out.desk.retry_window = 10s;
    out.desk.claim_age = 6s;
    out.placement.patience_floor = 1s;
    return out;
}

joined_entry& joined_entries::start(base::slot_id slot)
{
    auto item = std::make_unique<joined_entry>();
    item->slot = slot;
    item->life.value = ++this->last_life;
    scheduler_options options =
        options_for(slot, item->life, this->seed + this->last_life);
    options.desk.started = this->now;
    options.desk.started_wall = idempotency::wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->now.time_since_epoch()));
    item->core = std::make_unique<scheduler>(options);
    item->last_turn = this->now;
    item->lives[slot] = item->life;
    this->all.push_back(std::move(item));
    this->publish(*this->all.back());
    return *this->all.back();
}

void joined_entries::publish(joined_entry& to)
{
    this->step(to, config_changed{published()});
    this->list(to, true);
}

void joined_entries::list(joined_entry& to, bool any)
{
    membership::instance_list list;
    if (!any)
        return this->step(to, instances_listed{list});
    for (const char* name : {"photo-1", "photo-2"})
        list.instances.push_back({name,
                                  membership::instance_type::upstream,
                                  "zona-4",
                                  "127.0.0.1:1",
                                  membership::listed_state::live});
    this->step(to, instances_listed{list});
}

void joined_entries::kill(joined_entry& item)
{
    item.dead = true;
}

void joined_entries::cut(const joined_entry& left, const joined_entry& right)
{
    this->cuts.insert({&left, &right});
    this->cuts.insert({&right, &left});
}

std::vector<joined_entry*> joined_entries::living()
{
    std::vector<joined_entry*> out;
    for (const auto& item : this->all)
        if (!item->dead)
            out.push_back(item.get());
    return out;
}

std::uint64_t joined_entries::below(std::uint64_t bound)
{
    return this->generator() % bound;
}

bool joined_entries::chance(double part)
{
    return std::uniform_real_distribution<double>()(this->generator) < part;
}

std::string joined_entries::where() const
{
    return "seed " + std::to_string(this->seed) + ", time " +
           std::to_string(this->now.time_since_epoch().count());
}

// ---- Callers ----------------------------------------------------------------

std::size_t joined_entries::add_key(const std::string& text)
{
    joined_subject fresh;
    fresh.claim = idempotency::caller_key{base::workspace_id("booths"), text};
    fresh.first_sent = this->now;
    this->subjects.push_back(fresh);
    return this->subjects.size() - 1;
}

// A key that carries its issue time (UUIDv7).
std::size_t joined_entries::add_dated_key()
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

std::size_t joined_entries::add_ticket(joined_entry& home)
{
    this->step(home, ticket_wanted{base::request_id{++this->last_request}});
    REQUIRE(this->minted);
    joined_subject fresh;
    fresh.claim = *this->minted;
    fresh.first_sent = this->now;
    this->subjects.push_back(fresh);
    return this->subjects.size() - 1;
}

void joined_entries::send(joined_entry& at, std::size_t subject)
{
    request_arrived what;
    what.request = base::request_id{++this->last_request};
    what.spec.workspace = base::workspace_id("booths");
    what.spec.upstream_class = base::upstream_class_id("photo");
    what.spec.model = base::model_id("compliance");
    what.spec.repetition = base::repetition::at_most_once;
    what.spec.prompt_tokens = 100;
    what.spec.output_tokens = 20;
    what.deadline_after = 5s;
    what.body_digest = subject;
    what.subject = this->subjects[subject].claim;
    at.requests[what.request] = {subject, false};
    this->step(at, what);
}

// ---- Time and messages ------------------------------------------------------

void joined_entries::later(base::duration wait, happening what)
{
    this->due.emplace(this->now + wait, std::move(what));
}

base::duration joined_entries::trip()
{
    const std::uint64_t most =
        this->chance(this->faults / 4) ? 4'000'000 : 3000;
    return base::duration(static_cast<std::int64_t>(this->below(most)));
}

void joined_entries::between(joined_entry& from,
                             joined_entry& to,
                             happening what)
{
    if (this->cuts.contains({&from, &to}) || this->chance(this->faults))
        return;
    what.to = &to;
    what.from = &from;
    if (this->chance(this->faults))
        this->later(this->trip(), what);
    this->later(this->trip(), std::move(what));
}

void joined_entries::pass(base::duration step)
{
    this->now += step;
    if (this->now >= this->next_beat)
        this->send_beats();
    while (!this->due.empty() && this->due.begin()->first <= this->now) {
        const happening item = this->due.begin()->second;
        this->due.erase(this->due.begin());
        if (item.to->dead)
            continue;
        if (item.to->paused)
            this->unread[item.to].push_back(item);
        else
            this->take(item);
    }
    for (joined_entry* item : this->living())
        if (!item->paused)
            this->turn(*item);
}

// As the decision thread does: of a pause it hears before anything else.
void joined_entries::turn(joined_entry& at)
{
    const bool stood =
        this->now - at.last_turn > idempotency::desk_options{}.lease;
    if (stood)
        this->step(at, process_paused{});
    for (const happening& item : std::exchange(this->unread[&at], {}))
        this->take(item);
    const auto wake = at.core->next_wake();
    if ((wake && *wake <= this->now) || this->now - at.last_turn >= turn_period)
        this->step(at, tick{});
    at.last_turn = this->now;
    if (this->now >= at.stop_at)
        this->step(at, stop_forced{});
    if (at.core->stopping() && at.core->in_flight() == 0)
        at.dead = true;
}

void joined_entries::take(const happening& item)
{
    if (const auto* said = std::get_if<beat>(&item.what))
        return this->hear(*item.to, *said);
    // A pause is noticed before whatever woke the thread.
    if (this->now - item.to->last_turn > idempotency::desk_options{}.lease) {
        item.to->last_turn = this->now;
        this->step(*item.to, process_paused{});
    }
    this->step(*item.to, std::get<event>(item.what));
}

void joined_entries::hear(joined_entry& at, const beat& said)
{
    for (const auto& known : said.said.known_incarnations) {
        base::incarnation& highest = at.lives[known.slot];
        highest = std::max(highest, known.incarnation);
    }
    at.beats[said.said.slot] = {said.said.incarnation, said.sent};
    std::optional<base::instant> as_of;
    if (said.echo_life == at.life)
        as_of = said.echo;
    this->step(at, peer_heartbeat{said.said, as_of});
}

void joined_entries::send_beats()
{
    this->next_beat = this->now + beat_period;
    const auto everyone = this->living();
    for (joined_entry* from : everyone) {
        for (joined_entry* to : everyone) {
            if (from == to || from->paused || from->slot == to->slot)
                continue;
            beat out;
            out.said.slot = from->slot;
            out.said.incarnation = from->life;
            for (const auto& [slot, life] : from->lives)
                out.said.known_incarnations.push_back({slot, life});
            out.sent = this->now;
            const auto heard = from->beats.find(to->slot);
            if (heard != from->beats.end()) {
                out.echo_life = heard->second.life;
                out.echo = heard->second.sent;
            }
            this->between(*from, *to, {nullptr, nullptr, out});
        }
    }
}

void joined_entries::settle(base::duration span)
{
    this->heal();
    this->faults = 0;
    for (joined_entry* item : this->living())
        item->paused = false;
    for (base::duration left = span; left > 0ms; left -= 20ms)
        this->pass(20ms);
    for (const auto& item : this->all) {
        if (item->dead)
            continue;
        CHECK_MESSAGE(item->core->in_flight() == 0, this->where());
        for (const auto& [id, asked] : item->requests)
            CHECK_MESSAGE(asked.ended, this->where());
    }
}

} // namespace greengagedrum::delivery
