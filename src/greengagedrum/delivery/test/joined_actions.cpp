// What the schedulers of a joined run order, carried out and checked.
#include <greengagedrum/delivery/test/joined_entries.hpp>

namespace greengagedrum::delivery
{

void joined_entries::step(joined_entry& at, const event& what)
{
    std::vector<action> actions;
    at.core->step(what, this->now, actions);
    for (const action& one : actions)
        std::visit([&](const auto& done) { this->carry_out(at, done); }, one);
}

base::answer_ptr joined_entries::answer_of(base::dispatch_id dispatch) const
{
    const std::string text = std::to_string(dispatch.life.value) + "-" +
                             std::to_string(dispatch.sequence);
    return std::make_shared<const base::answer>(
        base::answer{"application/json", text, 20, true});
}

void joined_entries::carry_out(joined_entry& at, const start_dispatch& what)
{
    const auto wait =
        base::duration(static_cast<std::int64_t>(this->below(600'000)));
    if (this->chance(this->faults)) {
        this->refused.insert(what.dispatch);
        return this->later(
            wait / 8,
            {&at,
             nullptr,
             event(connect_refused{what.dispatch, what.connection})});
    }
    joined_subject& own = this->subjects[at.requests.at(what.request).subject];
    own.written += 1;
    own.written_as = what.dispatch;
    this->dispatches += 1;
    CHECK_MESSAGE(own.written == 1, this->where());
    if (this->chance(this->faults))
        return; // silent for good
    if (this->chance(this->faults))
        return this->later(
            wait / 2,
            {&at,
             nullptr,
             event(stream_broken{what.dispatch,
                                 what.connection,
                                 break_cause::connection_lost})});
    this->later(wait,
                {&at,
                 nullptr,
                 event(stream_finished{
                     what.dispatch, this->answer_of(what.dispatch), 0})});
}

void joined_entries::carry_out(joined_entry& at, const start_resume& what)
{
    const bool known =
        !this->refused.contains(what.dispatch) && !this->chance(this->faults);
    const event end =
        known
            ? event(stream_finished{
                  what.dispatch, this->answer_of(what.dispatch), 0})
            : event(stream_broken{
                  what.dispatch, what.connection, break_cause::unknown_stream});
    this->later(50ms, {&at, nullptr, end});
}

void joined_entries::carry_out(joined_entry& at, const stop_stream& what)
{
    static_cast<void>(at);
    CHECK_MESSAGE(!what.cancel, this->where()); // all is at most once
}

joined_subject& joined_entries::end(joined_entry& at, base::request_id request)
{
    auto& asked = at.requests.at(request);
    CHECK_MESSAGE(!asked.ended, this->where());
    asked.ended = true;
    return this->subjects[asked.subject];
}

void joined_entries::carry_out(joined_entry& at, const end_answered& what)
{
    joined_subject& own = this->end(at, what.request);
    own.answered += 1;
    CHECK_MESSAGE(own.written == 1, this->where());
    REQUIRE(what.answer);
    const auto made = this->answer_of(own.written_as);
    CHECK_MESSAGE(what.answer->body == made->body, this->where());
    if (own.written_as.life != at.life || own.answered > 1)
        own.recalled += 1;
}

void joined_entries::carry_out(joined_entry& at, const end_failed& what)
{
    joined_subject& own = this->end(at, what.request);
    if (what.verdict.run == base::run_state::may_have_run) {
        own.may_have_run += 1;
        return;
    }
    own.not_run += 1;
    CHECK_MESSAGE(own.written == 0,
                  this->where(),
                  ", ",
                  base::to_string(what.verdict.why));
}

void joined_entries::carry_out(joined_entry& at, const assign_ticket& what)
{
    static_cast<void>(at);
    this->minted = what.ticket;
}

void joined_entries::carry_out(joined_entry& at, const send_claim_message& what)
{
    // A link leads to one process of the slot, the former or its successor.
    std::vector<joined_entry*> reached;
    for (joined_entry* to : this->living())
        if (to->slot == what.to && to != &at)
            reached.push_back(to);
    if (reached.empty())
        return;
    this->between(
        at,
        *reached[this->below(reached.size())],
        {nullptr, nullptr, event(claim_message{at.slot, at.life, what.body})});
}

// Loads are not part of these runs.
void joined_entries::carry_out(joined_entry& at, const send_load_digest& what)
{
    static_cast<void>(at);
    static_cast<void>(what);
}

} // namespace greengagedrum::delivery
