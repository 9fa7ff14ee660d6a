// The desk as the home that grants, and as the holder that tells what became
// of its grants.
#include <greengagedrum/idempotency/desk.hpp>
#include <greengagedrum/idempotency/home_choice.hpp>
#include <greengagedrum/idempotency/key_time.hpp>

#include <algorithm>

namespace greengagedrum::idempotency
{

namespace
{
answer_state state_told(held_state state)
{
    switch (state) {
    case held_state::waiting:
    case held_state::running:
        return answer_state::running;
    case held_state::answered:
        return answer_state::answered;
    case held_state::dropped:
        return answer_state::dropped;
    case held_state::may_have_run:
        return answer_state::may_have_run;
    }
    return answer_state::unknown;
}
} // namespace

// ---- Home -----------------------------------------------------------------

void desk::on(const claim_request& what)
{
    const bool alive = what.requester == this->sender &&
                       what.requester_life == this->life_of(this->sender);
    if (!alive || what.home != this->options.slot)
        return;
    // The requester knows of a successor in our slot.
    if (what.home_life > this->options.life)
        this->heard_of(what.home, what.home_life);
    this->out->push_back(send{what.requester, this->decide(what)});
}

claim_reply desk::decide(const claim_request& asked)
{
    claim_reply reply{.attempt = asked.attempt,
                      .home = this->options.slot,
                      .home_life = this->options.life,
                      .result = claim_result::granted,
                      .holder = {},
                      .holder_life = {},
                      .holder_attempt = 0};
    const auto* named = std::get_if<ticket>(&asked.subject);
    const bool ours = named == nullptr ? asked.home_life == this->options.life
                                       : named->life == this->options.life &&
                                             named->slot == this->options.slot;
    if (!ours)
        reply.result = claim_result::refused_life;
    else if (named == nullptr)
        reply.result = this->judge_key(asked);
    if (reply.result != claim_result::granted)
        return reply;
    const claim_table::decision made = this->table.claim(asked, this->now);
    reply.result = made.result;
    reply.holder = made.held_by.slot;
    reply.holder_life = made.held_by.life;
    reply.holder_attempt = made.held_by.attempt;
    return reply;
}

// `granted` here means: the table may decide. Who holds a key already may be
// told at any time; a grant needs the lease and a memory that reaches back to
// the key's first use.
claim_result desk::judge_key(const claim_request& asked) const
{
    if (this->table.held_by_another(asked))
        return claim_result::granted;
    const auto& key = std::get<caller_key>(asked.subject);
    const bool ours =
        this->home_of(key, this->options.data_centre) == this->options.slot;
    if (!ours || !this->lease.holds(this->now))
        return claim_result::refused_lease;
    const bool renewal = this->table.knows(asked.subject);
    if (!renewal && this->may_predate_memory(key))
        return claim_result::refused_old;
    return claim_result::granted;
}

// The failure: an operator adds or removes a slot, the homes of some keys move
// to slots that never heard of them, and a repeat runs again. For a key that
// moved here, memory starts when no entry can still claim at its former home.
std::optional<base::instant> desk::memory_start_of(const caller_key& key) const
{
    const auto start = this->lease.memory_start(this->now);
    if (!start || !this->slots_changed)
        return start;
    const bool stayed =
        choose_home(key, this->former_slots) == this->options.slot;
    if (stayed)
        return start;
    return std::max(*start, *this->slots_changed + this->options.homes_lag);
}

// The failure: a home restarts with empty memory, and a booth repeats a
// receipt's key that the former process granted; the receipt is printed and
// charged twice. Until every key of that time can no longer be repeated, only
// a key that shows its issue time, later than the start of this memory by more
// than the clocks may differ, is new for certain. A stamp from the future
// proves nothing.
bool desk::may_predate_memory(const caller_key& key) const
{
    const auto start = this->memory_start_of(key);
    if (!start || *start > this->now)
        return true;
    const auto wall_at = [this](base::instant at) {
        return this->options.started_wall + (at - this->options.started);
    };
    const bool full = this->now - *start > this->options.memory_span();
    const auto issued = issue_time(key.key);
    const base::duration skew = this->options.clock_skew;
    if (!issued || *issued > wall_at(this->now) + skew)
        return !full;
    // Its claim may have been made, run and forgotten.
    if (*issued + this->options.memory_span() + skew < wall_at(this->now))
        return true;
    return !full && *issued <= wall_at(*start) + skew;
}

void desk::on(const claim_release& what)
{
    if (what.holder == this->sender && what.holder_life == this->sender_life)
        this->table.release(what);
}

// ---- Holder ---------------------------------------------------------------

void desk::on(const answer_request& what)
{
    if (what.requester != this->sender)
        return;
    answer_reply reply{.attempt = what.attempt,
                       .holder_life = this->options.life,
                       .state = answer_state::unknown,
                       .content_type = {},
                       .body = {},
                       .tokens = 0,
                       .of_model = true};
    if (what.holder_life == this->options.life)
        this->tell(what, reply);
    this->out->push_back(send{what.requester, std::move(reply)});
}

void desk::tell(const answer_request& asked, answer_reply& reply)
{
    if (this->retired.find(asked.holder_attempt) != nullptr) {
        // The release may have been lost: without it the claim stays ours.
        this->release(asked.holder_attempt);
        reply.state = answer_state::never_ran;
        return;
    }
    const held_record* record = this->records.find(asked.subject);
    if (this->attempts.contains(asked.holder_attempt)) // reply on its way
        reply.state = answer_state::running;
    if (record == nullptr || record->attempt != asked.holder_attempt ||
        record->body_digest != asked.body_digest)
        return;
    reply.state = state_told(record->state);
    if (record->state != held_state::answered)
        return;
    reply.content_type = record->whole->content_type;
    reply.body = record->whole->body;
    reply.tokens = record->whole->tokens;
    reply.of_model = record->whole->from_model;
}

// The end of a record, told to the requests of this entry that wait for it.
void desk::settle(const claim_subject& subject,
                  held_state state,
                  const base::answer_ptr& whole)
{
    held_record* record = this->records.find(subject);
    if (record == nullptr)
        return;
    std::vector<base::request_id> waiting;
    waiting.swap(record->attached);
    this->records.settle(subject, state, whole, this->now);
    for (const base::request_id id : waiting) {
        if (state != held_state::answered) {
            this->end(id, base::may_have_run(base::reason::already_claimed));
            continue;
        }
        this->out->push_back(recalled{id, whole});
        this->erase(id);
    }
}

// The record's request was given up before any dispatch. The first of those
// that waited claims anew; the others find its record, or claim and are told
// of it by the home.
void desk::pass_on(const claim_subject& subject)
{
    const std::vector<base::request_id> waiting =
        this->records.find(subject)->attached;
    this->records.erase(subject);
    for (const base::request_id id : waiting)
        if (!this->use_record(id))
            this->claim(id);
}

} // namespace greengagedrum::idempotency
