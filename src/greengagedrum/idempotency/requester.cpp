// The desk as requester: from begin() to a grant, another's answer, or the
// verdict that neither can be had.
#include <greengagedrum/idempotency/desk.hpp>

#include <algorithm>
#include <vector>

namespace greengagedrum::idempotency
{

using base::reason;

namespace
{

constexpr base::duration first_reclaim = std::chrono::milliseconds(5);
constexpr unsigned most_doublings = 6;
constexpr base::duration full_retry_hint = std::chrono::seconds(1);

bool is_ticket(const claim_subject& subject)
{
    return std::holds_alternative<ticket>(subject);
}

reason home_away(const claim_subject& subject)
{
    return is_ticket(subject) ? reason::ticket_home_away
                              : reason::key_home_away;
}

reason refused_for_age(const claim_subject& subject)
{
    return is_ticket(subject) ? reason::already_claimed : reason::key_too_old;
}

} // namespace

// ---- Claiming -------------------------------------------------------------

// What this process holds already for the same subject settles it here. True
// when the request needs no claim.
bool desk::use_record(base::request_id id)
{
    requester_entry& item = this->requests.at(id);
    held_record* record = this->records.find(item.subject);
    if (record == nullptr)
        return false;
    if (record->body_digest != item.body_digest) {
        this->end(id, base::not_run(reason::key_conflict));
        return true;
    }
    switch (record->state) {
    case held_state::waiting:
    case held_state::running:
        item.stage = requester_stage::attached_here;
        this->clear_timer(id);
        record->attached.push_back(id);
        this->out->push_back(attached{id});
        return true;
    case held_state::answered:
        this->out->push_back(recalled{id, record->whole});
        this->erase(id);
        return true;
    case held_state::dropped:
        this->end(id, base::may_have_run(reason::answer_dropped));
        return true;
    case held_state::may_have_run:
        this->end(id, base::may_have_run(reason::already_claimed));
        return true;
    }
    return false;
}

void desk::claim(base::request_id id)
{
    this->new_attempt(id);
    this->ask_home(id);
}

// An attempt is named once only, so the former one, never granted to this
// request, is over.
void desk::new_attempt(base::request_id id)
{
    requester_entry& item = this->requests.at(id);
    if (this->attempts.erase(item.attempt) > 0)
        this->retired.note(item.attempt, item.subject, item.home);
    item.stage = requester_stage::claiming;
    item.attempt = this->next_attempt++;
    item.asked = this->now;
    item.grant_void = false;
    this->attempts[item.attempt] = id;
}

// The holder gave it up. Its release may reach the home after a claim made at
// once, and a home that can't hear the holder goes on naming it: each further
// claim waits longer.
void desk::claim_later(base::request_id id)
{
    this->new_attempt(id);
    requester_entry& item = this->requests.at(id);
    const unsigned doublings = std::min(item.reclaims++, most_doublings);
    this->set_timer(id, this->now + (first_reclaim * (1U << doublings)));
}

// The grant grew old while the request waited for an upstream. The same
// attempt is asked for again: its home still has it as ours.
void desk::renew(base::request_id id)
{
    requester_entry& item = this->requests.at(id);
    if (item.stage != requester_stage::holding)
        return;
    item.stage = requester_stage::claiming;
    item.asked = this->now;
    item.grant_void = false;
    this->ask_home(id);
}

bool desk::too_old(const requester_entry& item) const
{
    return !is_ticket(item.subject) &&
           this->now - item.begun > this->options.claim_age;
}

void desk::ask_home(base::request_id id)
{
    requester_entry& item = this->requests.at(id);
    if (this->too_old(item))
        return this->end_claim(id, reason::key_too_old);
    const auto* named = std::get_if<ticket>(&item.subject);
    const base::incarnation known = this->life_of(item.home);
    if (named != nullptr && known > named->life)
        return this->end_claim(id, reason::ticket_home_gone);
    claim_request asked{.attempt = item.attempt,
                        .requester = this->options.slot,
                        .requester_life = this->options.life,
                        .home = item.home,
                        .home_life = named != nullptr ? named->life : known,
                        .body_digest = item.body_digest,
                        .subject = item.subject};
    item.asked_life = asked.home_life;
    this->set_timer(id, this->now + this->options.repeat_after);
    if (item.home == this->options.slot)
        return this->take_reply(id, this->decide(asked));
    this->out->push_back(send{item.home, std::move(asked)});
}

// A reply finds its request by the attempt. One that finds none is a copy, or
// the grant of a request that was given up meanwhile.
void desk::on(const claim_reply& what)
{
    if (what.home != this->sender)
        return;
    const auto found = this->attempts.find(what.attempt);
    if (found != this->attempts.end())
        return this->take_reply(found->second, what);
    if (what.result == claim_result::granted)
        this->release(what.attempt);
}

void desk::take_reply(base::request_id id, const claim_reply& reply)
{
    requester_entry& item = this->requests.at(id);
    if (item.stage != requester_stage::claiming || reply.home != item.home)
        return;
    switch (reply.result) {
    case claim_result::granted:
        return this->take_grant(id, reply);
    case claim_result::held:
        return this->take_held(id, reply);
    case claim_result::refused_old:
        return this->end_claim(id, refused_for_age(item.subject));
    case claim_result::refused_body:
        return this->end(id, base::not_run(reason::key_conflict));
    case claim_result::refused_full:
        return this->end(id, base::not_run(reason::internal, full_retry_hint));
    case claim_result::refused_life:
        return this->take_life(id, reply);
    case claim_result::refused_lease:
        return; // it may be sure again before the claim's time is out
    }
}

void desk::take_grant(base::request_id id, const claim_reply& reply)
{
    requester_entry& item = this->requests.at(id);
    // A process that was replaced may grant for a while on its side of a cut.
    if (!is_ticket(item.subject) && reply.home_life < this->life_of(item.home))
        return;
    // Too late to be used; the claim's timer ends or repeats it.
    if (!is_ticket(item.subject) &&
        this->now - item.asked > this->options.lease)
        return this->end_claim(id, home_away(item.subject));
    const held_record* known = this->records.find(item.subject);
    const bool renewed = known != nullptr && known->attempt == item.attempt &&
                         known->state == held_state::waiting;
    // Held or run here under another attempt: no home's word may repeat that.
    if (known != nullptr && !renewed) {
        this->use_record(id);
        return;
    }
    this->clear_timer(id);
    item.stage = requester_stage::holding;
    if (!renewed) {
        held_record& record = this->records.put(item.subject, this->now);
        record.attempt = item.attempt;
        record.body_digest = item.body_digest;
    }
    item.was_granted = true;
    this->out->push_back(granted{id});
}

void desk::take_held(base::request_id id, const claim_reply& reply)
{
    requester_entry& item = this->requests.at(id);
    // The home contradicts its own grant: believe neither.
    if (item.was_granted)
        return this->end(id, base::may_have_run(reason::already_claimed));
    if (reply.holder == this->options.slot &&
        reply.holder_life == this->options.life)
        return this->take_held_here(id, reply.holder_attempt);
    this->clear_timer(id);
    item.stage = requester_stage::attached_there;
    item.holder = reply.holder;
    item.holder_life = reply.holder_life;
    item.holder_attempt = reply.holder_attempt;
    item.holder_heard = this->now;
    this->out->push_back(attached{id});
    this->ask_holder(id);
}

// Another request of this entry holds it: its record is here, or it is still
// claiming and its own reply is on the way, or it was given up and the release
// was lost.
void desk::take_held_here(base::request_id id, std::uint64_t holder_attempt)
{
    if (this->use_record(id))
        return;
    if (this->retired.find(holder_attempt) != nullptr)
        return this->release(holder_attempt);
    if (!this->attempts.contains(holder_attempt))
        this->end_claim(id, reason::already_claimed);
}

void desk::take_life(base::request_id id, const claim_reply& reply)
{
    const requester_entry& item = this->requests.at(id);
    if (reply.home_life < item.asked_life)
        return; // the predecessor of the one that was asked, come late
    this->heard_of(reply.home, reply.home_life);
    if (is_ticket(item.subject))
        return this->end_claim(id, reason::ticket_home_gone);
    // Asked of an older or unknown life: ask the one that answered.
    if (item.asked_life != this->life_of(item.home))
        this->ask_home(id);
}

// ---- Ends and timers --------------------------------------------------------

void desk::on_timer(base::request_id id)
{
    const requester_entry& item = this->requests.at(id);
    if (item.stage == requester_stage::attached_there)
        return this->ask_holder(id);
    if (item.stage != requester_stage::claiming)
        return;
    if (this->now - item.asked > this->options.claim_timeout)
        return this->end_claim(id, home_away(item.subject));
    this->ask_home(id);
}

// Ends a request whose claim led to nothing. Once it was granted, nobody else
// can have run it, and neither did this process: that is a proof of not_run.
// Without that, an earlier request with the same subject may have run
// anywhere.
void desk::end_claim(base::request_id id, reason why)
{
    const bool proved = this->requests.at(id).was_granted;
    this->end(id, proved ? base::not_run(why) : base::may_have_run(why));
}

void desk::end(base::request_id id, base::verdict verdict)
{
    this->out->push_back(refused{id, verdict});
    this->withdraw(id);
}

// Takes a request out that was not dispatched; its claim, if any, passes on.
base::run_state desk::withdraw(base::request_id id)
{
    const requester_entry item = this->requests.at(id);
    this->erase(id);
    held_record* record = this->records.find(item.subject);
    if (item.stage == requester_stage::attached_here && record != nullptr)
        std::erase(record->attached, id);
    const bool ours = record != nullptr && record->attempt == item.attempt &&
                      !is_settled(record->state);
    if (ours) {
        this->retire(item);
        this->pass_on(item.subject);
    } else if (item.stage == requester_stage::claiming && item.attempt != 0) {
        this->retire(item);
    }
    return item.was_granted ? base::run_state::not_run
                            : base::run_state::may_have_run;
}

// The home may have granted this attempt, or will when the claim arrives.
void desk::retire(const requester_entry& item)
{
    this->retired.note(item.attempt, item.subject, item.home);
    this->release(item.attempt);
}

// Only what was retired is ever released.
void desk::release(std::uint64_t attempt)
{
    const retired_attempts::claim* unused = this->retired.find(attempt);
    if (unused == nullptr)
        return;
    claim_release said{.attempt = attempt,
                       .holder = this->options.slot,
                       .holder_life = this->options.life,
                       .home_life = this->life_of(unused->home),
                       .subject = unused->subject};
    if (unused->home == this->options.slot)
        return this->table.release(said);
    this->out->push_back(send{unused->home, std::move(said)});
}

void desk::set_timer(base::request_id id, base::instant at)
{
    this->clear_timer(id);
    requester_entry& item = this->requests.at(id);
    item.next = at;
    item.timed = true;
    this->timers.emplace(at, id);
}

void desk::clear_timer(base::request_id id)
{
    requester_entry& item = this->requests.at(id);
    if (!item.timed)
        return;
    item.timed = false;
    this->timers.erase({item.next, id});
}

void desk::erase(base::request_id id)
{
    this->clear_timer(id);
    this->attempts.erase(this->requests.at(id).attempt);
    this->requests.erase(id);
}

} // namespace greengagedrum::idempotency
