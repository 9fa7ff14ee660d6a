// Tickets and idempotency keys: whether a request may be dispatched here.
//
// The outputs of the desk are collected and applied between the other parts of
// a step, never within them: a grant adds a request to the queue, which must
// not change while admission iterates over it.
#include <greengagedrum/delivery/scheduler.hpp>

#include <utility>

namespace greengagedrum::delivery
{

void scheduler::on(const ticket_wanted& what)
{
    this->out->push_back(
        assign_ticket{what.request, this->desk.mint(this->now)});
}

void scheduler::on(const claim_message& what)
{
    this->desk.on_message(what.sender,
                          what.incarnation,
                          what.body,
                          this->now,
                          this->desk_outputs);
}

void scheduler::on(const process_paused& what)
{
    static_cast<void>(what);
    this->desk.paused();
}

// A request without a ticket or idempotency key gets a ticket of this process,
// with which the caller can fetch the answer later.
//
// Idempotent requests make no claim: a second run does no harm, and waiting for
// an unreachable home would delay urgent requests.
void scheduler::begin_claim(request& item)
{
    if (!item.subject) {
        const idempotency::ticket made = this->desk.mint(this->now);
        item.subject = made;
        this->out->push_back(assign_ticket{item.id, made});
    }
    if (item.spec.repetition == base::repetition::idempotent)
        return this->enqueue(item);
    item.holds_claim = true;
    item.phase = phase::claiming;
    this->timers.set(item, item.spec.deadline);
    this->desk.begin(item.id,
                     *item.subject,
                     this->home_of(item.spec.workspace),
                     item.body_digest,
                     this->now,
                     this->desk_outputs);
}

base::data_centre_id scheduler::home_of(base::workspace_id workspace) const
{
    const auto found = this->home_data_centres.find(workspace);
    return found == this->home_data_centres.end() ? this->options.data_centre
                                                  : found->second;
}

void scheduler::update_home_data_centres()
{
    this->desk.set_homes(this->snapshot->fleet.data_centres, this->now);
    this->home_data_centres.clear();
    for (const auto& [name, workspace] : this->snapshot->workspaces)
        this->home_data_centres[workspace.id] = workspace.home;
}

// False when the lease of the grant expired while the request was queued. The
// grant is then requested again before the request may be dispatched.
bool scheduler::check_grant(request& item)
{
    if (!item.holds_claim || item.may_have_run ||
        this->desk.may_dispatch(item.id, this->now))
        return true;
    this->change_phase(item, phase::claiming);
    this->timers.set(item, item.spec.deadline);
    this->expired_grants.push_back(item.id);
    return false;
}

void scheduler::renew_expired_grants()
{
    for (const base::request_id id : std::exchange(this->expired_grants, {})) {
        const auto found = this->requests.find(id);
        if (found != this->requests.end())
            this->begin_claim(found->second);
    }
}

// Reports the end of a request to the desk and returns the run state to report
// to the caller. The desk can only change it from not_run to may_have_run,
// because another entry may be running the request.
base::run_state scheduler::close_claim(request& item, base::run_state run)
{
    if (!item.holds_claim)
        return run;
    item.holds_claim = false;
    if (item.may_have_run || is_running(item.phase)) {
        this->desk.failed(item.id, run, this->now, this->desk_outputs);
        return run;
    }
    const base::run_state desk_state =
        this->desk.give_up(item.id, this->now, this->desk_outputs);
    return desk_state == base::run_state::may_have_run ? desk_state : run;
}

// True when outputs were applied, which may have freed or taken slots.
bool scheduler::apply_desk_outputs()
{
    if (this->desk_outputs.empty() && this->expired_grants.empty())
        return false;
    this->renew_expired_grants();
    for (const idempotency::output& one : std::exchange(this->desk_outputs, {}))
        std::visit([this](const auto& concrete) { this->apply(concrete); },
                   one);
    return true;
}

void scheduler::apply(const idempotency::granted& what)
{
    const auto found = this->requests.find(what.request);
    if (found == this->requests.end())
        return;
    request& item = found->second;
    if (item.phase == phase::attached)
        this->change_phase(item, phase::claiming);
    if (item.phase != phase::claiming)
        return;
    this->change_phase(item, phase::queued);
    if (!this->planner.servable(item.spec))
        return this->end_without_upstream(item);
    this->enqueue(item);
}

void scheduler::apply(const idempotency::attached& what)
{
    const auto found = this->requests.find(what.request);
    if (found != this->requests.end() && found->second.phase == phase::claiming)
        this->change_phase(found->second, phase::attached);
}

void scheduler::apply(const idempotency::recalled& what)
{
    const auto found = this->requests.find(what.request);
    if (found == this->requests.end())
        return;
    found->second.holds_claim = false;
    this->count.recalled += 1;
    this->end_with_answer(found->second, what.whole);
}

void scheduler::apply(const idempotency::refused& what)
{
    const auto found = this->requests.find(what.request);
    if (found == this->requests.end())
        return;
    found->second.holds_claim = false;
    this->end_with_verdict(found->second, what.verdict);
}

void scheduler::apply(const idempotency::send& what)
{
    this->out->push_back(send_claim_message{what.to, what.body});
}

} // namespace greengagedrum::delivery
