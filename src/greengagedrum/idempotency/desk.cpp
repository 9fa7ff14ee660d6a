// The desk's doors: what the world, the scheduler and the clock tell it.
// requester.cpp holds the requester's role, home_and_holder.cpp the others.
#include <greengagedrum/idempotency/desk.hpp>
#include <greengagedrum/idempotency/home_choice.hpp>

#include <xxhash.h>

#include <algorithm>

namespace greengagedrum::idempotency
{

namespace
{
constexpr base::duration cleaning_interval = std::chrono::seconds(1);

held_records::bounds bounds_of(const desk_options& options)
{
    return {.records = options.records_max,
            .bytes = options.answer_bytes_max,
            .answer_age = options.answer_age_max,
            .record_age = options.memory_span()};
}
// The failure: a grant on its way to a process reaches its successor in the
// slot, which counts its attempts from the same number and takes the grant for
// its own. Lives therefore count from far apart.
std::uint64_t first_attempt(base::incarnation life)
{
    constexpr std::uint64_t seed = 0x617474656d7074;
    return XXH64(&life.value, sizeof(life.value), seed);
}
} // namespace

desk::desk(const desk_options& options)
    : options(options),
      lease(options.slot, options.condition, options.lease, options.list_lag),
      table(options.claims_max, options.memory_span()),
      records(bounds_of(options)), next_attempt(first_attempt(options.life)),
      last_cleaning(options.started)
{
}

// ---- What the world says --------------------------------------------------

void desk::set_homes(std::span<const config::data_centre> published,
                     base::instant at)
{
    std::vector<base::slot_id> before =
        std::move(this->homes[this->options.data_centre]);
    this->homes.clear();
    for (const config::data_centre& centre : published) {
        std::vector<base::slot_id>& slots = this->homes[centre.id];
        for (const config::entry_slot& slot : centre.slots)
            slots.push_back(slot.id);
    }
    this->lease.set_slots(this->homes[this->options.data_centre]);
    this->note_slots(before, at);
}

void desk::note_slots(const std::vector<base::slot_id>& before,
                      base::instant at)
{
    if (before.empty() || before == this->homes[this->options.data_centre])
        return;
    const bool twice = this->slots_changed &&
                       at - *this->slots_changed <= this->options.memory_span();
    this->former_slots = twice ? std::vector<base::slot_id>{} : before;
    this->slots_changed = at;
}

void desk::heard(base::slot_id slot,
                 base::incarnation life,
                 base::instant as_of,
                 base::instant at)
{
    this->heard_of(slot, life);
    // The beat of a dead predecessor, come late, says nothing about now.
    if (life == this->life_of(slot))
        this->lease.heard(slot, life, as_of, at);
}

void desk::heard_of(base::slot_id slot, base::incarnation life)
{
    base::incarnation& highest = this->lives[slot];
    highest = std::max(highest, life);
    if (slot == this->options.slot && life > this->options.life)
        this->lease.supersede();
}

void desk::listed(base::instant as_of, base::instant at)
{
    this->lease.listed(as_of, at);
}

void desk::lost(base::slot_id slot)
{
    this->lease.lost(slot);
}

// The failure: a process stands still past its lease and goes on with what it
// believed before; it would grant as a home that was replaced, or dispatch on
// a grant that its home no longer remembers. It shows as two runs of one key.
// Dropping all it was told by the lease's time makes it ask anew.
void desk::paused()
{
    this->lease.paused();
    for (auto& [id, item] : this->requests)
        item.grant_void = true;
}

base::incarnation desk::life_of(base::slot_id slot) const
{
    if (slot == this->options.slot)
        return this->options.life;
    const auto found = this->lives.find(slot);
    return found == this->lives.end() ? base::incarnation{} : found->second;
}

// ---- Requests of this entry -----------------------------------------------

ticket desk::mint(base::instant at)
{
    return ticket{this->options.data_centre,
                  this->options.slot,
                  this->options.life,
                  this->table.mint(at)};
}

void desk::begin(base::request_id request,
                 const claim_subject& subject,
                 base::data_centre_id home,
                 std::uint64_t body_digest,
                 base::instant at,
                 std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    if (this->requests.contains(request))
        return this->renew(request);
    requester_entry& item = this->requests[request];
    item.subject = subject;
    item.body_digest = body_digest;
    item.begun = at;
    const auto chosen = this->home_of(subject, home);
    if (!chosen)
        return this->end(request,
                         base::may_have_run(base::reason::key_home_away));
    item.home = *chosen;
    if (!this->use_record(request))
        this->claim(request);
}

std::optional<base::slot_id> desk::home_of(const claim_subject& subject,
                                           base::data_centre_id home) const
{
    if (const auto* named = std::get_if<ticket>(&subject))
        return named->slot;
    const auto slots = this->homes.find(home);
    if (slots == this->homes.end())
        return std::nullopt;
    return choose_home(std::get<caller_key>(subject), slots->second);
}

// The failure: a request waits for an upstream while its home is replaced and
// the callers' retry window passes; the successor grants its key anew, and
// both run. A grant is therefore used only while it is young, and asked for
// again after that; and a request older than `claim_age` never runs.
bool desk::may_dispatch(base::request_id request, base::instant at) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return false;
    const requester_entry& item = found->second;
    if (item.stage != requester_stage::holding)
        return false;
    // A ticket's home remembers its grant as long as it lives, and nobody
    // else ever grants: nothing here can grow old.
    if (std::holds_alternative<ticket>(item.subject))
        return true;
    return !item.grant_void && at - item.asked <= this->options.lease &&
           at - item.begun <= this->options.claim_age;
}

void desk::dispatched(base::request_id request)
{
    requester_entry& item = this->requests.at(request);
    item.stage = requester_stage::running;
    this->records.find(item.subject)->state = held_state::running;
}

void desk::not_dispatched(base::request_id request)
{
    requester_entry& item = this->requests.at(request);
    item.stage = requester_stage::holding;
    this->records.find(item.subject)->state = held_state::waiting;
}

void desk::answered(base::request_id request,
                    const base::answer_ptr& whole,
                    base::instant at,
                    std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    const auto found = this->requests.find(request);
    if (found == this->requests.end() ||
        found->second.stage != requester_stage::running)
        return;
    const claim_subject subject = found->second.subject;
    this->erase(request);
    this->settle(subject, held_state::answered, whole);
}

void desk::failed(base::request_id request,
                  base::run_state run,
                  base::instant at,
                  std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    if (run == base::run_state::not_run ||
        found->second.stage != requester_stage::running) {
        this->withdraw(request);
        return;
    }
    const claim_subject subject = found->second.subject;
    this->erase(request);
    this->settle(subject, held_state::may_have_run, nullptr);
}

base::run_state desk::give_up(base::request_id request,
                              base::instant at,
                              std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    const auto found = this->requests.find(request);
    if (found == this->requests.end() ||
        found->second.stage == requester_stage::running)
        return base::run_state::may_have_run;
    return this->withdraw(request);
}

// ---- Peers and time -------------------------------------------------------

void desk::on_message(base::slot_id sender,
                      base::incarnation life,
                      const message& what,
                      base::instant at,
                      std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    this->sender = sender;
    this->sender_life = life;
    this->heard_of(sender, life);
    std::visit([this](const auto& concrete) { this->on(concrete); }, what);
}

void desk::tick(base::instant at, std::vector<output>& outputs)
{
    this->now = at;
    this->out = &outputs;
    while (!this->timers.empty() && this->timers.begin()->first <= at) {
        const base::request_id due = this->timers.begin()->second;
        this->clear_timer(due);
        this->on_timer(due);
    }
    if (at - this->last_cleaning < cleaning_interval)
        return;
    this->last_cleaning = at;
    this->table.forget_old(at);
    this->records.forget_old(at);
}

std::optional<base::instant> desk::next_wake() const
{
    if (this->timers.empty())
        return std::nullopt;
    return this->timers.begin()->first;
}

} // namespace greengagedrum::idempotency
