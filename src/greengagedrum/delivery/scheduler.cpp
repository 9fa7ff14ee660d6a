#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/delivery/unclaimed_verdict.hpp>

#include <algorithm>
#include <cassert>

namespace greengagedrum::delivery
{

namespace
{
constexpr base::duration stopping_retry_after = std::chrono::milliseconds(100);
constexpr base::duration no_upstream_retry_after = std::chrono::seconds(1);

placement::options planner_options(const scheduler_options& options)
{
    placement::options out = options.placement;
    out.slot = options.slot;
    out.seed = options.seed;
    return out;
}

idempotency::desk_options desk_options_of(const scheduler_options& options)
{
    idempotency::desk_options out = options.desk;
    out.slot = options.slot;
    out.data_centre = options.data_centre;
    out.life = options.incarnation;
    return out;
}

} // namespace

scheduler::scheduler(const scheduler_options& options)
    : options(options), generator(options.seed), admission(options.admission),
      planner(options.data_centre, planner_options(options)),
      desk(desk_options_of(options)), distress(options.admission.distress_hold),
      shares(options.slot), retries(options.retry_fraction, options.retry_bound)
{
}

void scheduler::step(const event& what,
                     base::instant at,
                     std::vector<action>& actions)
{
    this->now = at;
    this->out = &actions;
    this->fire_timers();
    std::visit([this](const auto& concrete) { this->on(concrete); }, what);
    if (this->now >= this->next_share_refresh)
        this->update_shares();
    this->desk.tick(this->now, this->desk_outputs);
    this->apply_desk_outputs();
    do {
        this->dispatch_queued();
        this->force_or_shed_candidates();
    } while (this->apply_desk_outputs());
    this->out = nullptr;
}

std::optional<base::instant> scheduler::next_wake() const
{
    const auto recovery = this->admission.waiting() == 0
                              ? std::nullopt
                              : this->distress.next_expiry(this->now);
    std::optional<base::instant> first;
    for (const auto& one : {this->timers.next(),
                            this->admission.next_wake(),
                            this->desk.next_wake(),
                            recovery}) {
        if (one && (!first || *one < *first))
            first = one;
    }
    return first;
}

const request* scheduler::find(base::request_id id) const
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

request* scheduler::find_by_dispatch(base::dispatch_id dispatch)
{
    const auto found = this->dispatches.find(dispatch);
    if (found == this->dispatches.end())
        return nullptr;
    const auto owner = this->requests.find(found->second);
    return owner == this->requests.end() ? nullptr : &owner->second;
}

double scheduler::random()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator);
}

void scheduler::change_phase(request& item, phase to)
{
    assert(is_transition_allowed(item.phase, to));
    if (is_running(item.phase) && !is_running(to))
        this->running_requests.remove(item.id);
    item.phase = to;
}

void scheduler::on(const request_arrived& what)
{
    this->count.arrived += 1;
    request& item = this->requests[what.request];
    item.id = what.request;
    item.spec = what.spec;
    item.spec.arrived = this->now;
    item.spec.deadline = this->now + what.deadline_after;
    item.body_digest = what.body_digest;
    item.subject = what.subject;
    if (this->stop_requested)
        return this->end_with_verdict(item,
                                      unclaimed_verdict(what,
                                                        base::reason::stopping,
                                                        stopping_retry_after));
    // The answer to a repeat may have been kept, so no upstream is needed.
    if (!may_have_run_elsewhere(what) && !this->planner.servable(item.spec))
        return this->end_without_upstream(item);
    this->retries.deposit();
    this->begin_claim(item);
}

void scheduler::end_without_upstream(request& item)
{
    this->end_with_verdict(
        item,
        base::not_run(base::reason::no_upstream, no_upstream_retry_after));
}

void scheduler::fire_timers()
{
    while (const auto due = this->timers.pop_due(this->now)) {
        request& item = this->requests.at(*due);
        item.timer.reset();
        this->on_timer(item);
    }
}

void scheduler::on_timer(request& item)
{
    switch (item.phase) {
    case phase::queued:
        this->on_queue_timeout(item);
        return;
    case phase::claiming:
    case phase::attached:
        this->end_with_verdict(item,
                               base::verdict{item.run_state(),
                                             base::reason::deadline,
                                             std::nullopt});
        return;
    case phase::dispatched:
        // The connection may be dead while the upstream still runs the
        // request, e.g. when a middlebox dropped its state. Resuming over a
        // new connection shows which is the case.
        this->planner.silent(item.upstream, this->now);
        this->break_stream(item, false);
        if (item.spec.model.empty())
            return this->retry_or_end(item, base::reason::upstream_silent);
        this->change_phase(item, phase::resuming);
        this->schedule_resume(item);
        return;
    case phase::resuming:
        this->resume(item);
        return;
    case phase::backing_off:
        this->change_phase(item, phase::queued);
        this->enqueue(item);
        return;
    case phase::ended:
        return;
    }
}

void scheduler::on(const tick& what)
{
    static_cast<void>(what);
}

void scheduler::end_with_answer(request& item, base::answer_ptr answer)
{
    this->planner.ended(item.dispatch, this->now);
    if (const auto* ran = this->running_requests.find(item.id))
        this->estimator.observe(item.spec, this->now - ran->dispatched_at);
    if (item.holds_claim)
        this->desk.answered(item.id, answer, this->now, this->desk_outputs);
    item.holds_claim = false;
    this->count.answered += 1;
    this->out->push_back(end_answered{item.id, std::move(answer)});
    this->remove(item);
}

void scheduler::end_with_verdict(request& item, base::verdict verdict)
{
    // A request that may have run must never be reported as not_run.
    if (item.may_have_run)
        verdict.run = base::run_state::may_have_run;
    verdict.run = this->close_claim(item, verdict.run);
    if (verdict.run == base::run_state::not_run)
        this->count.not_run += 1;
    else
        this->count.may_have_run += 1;
    this->out->push_back(end_failed{item.id, verdict});
    this->remove(item);
}

void scheduler::remove(request& item)
{
    this->timers.clear(item);
    this->admission.forget(item.id);
    this->running_requests.remove(item.id);
    this->dispatches.erase(item.dispatch);
    this->requests.erase(item.id);
}

// A running at-most-once request is read to its end, and its answer is kept for
// the caller's retry. A running idempotent request is cancelled, and a request
// that does not run ends.
void scheduler::on(const caller_gone& what)
{
    const auto found = this->requests.find(what.request);
    if (found == this->requests.end())
        return;
    request& item = found->second;
    item.caller_present = false;
    const bool running =
        item.phase == phase::dispatched || item.phase == phase::resuming;
    if (!running)
        return this->end_with_verdict(item,
                                      base::verdict{item.run_state(),
                                                    base::reason::deadline,
                                                    std::nullopt});
    if (item.spec.repetition == base::repetition::at_most_once)
        return;
    this->break_stream(item, true);
    if (item.tokens_received > 0)
        this->count_wasted_prefill(item);
    this->retry_or_end(item, base::reason::upstream_failed);
}

void scheduler::on(const config_changed& what)
{
    this->snapshot = what.snapshot;
    this->planner.set_fleet(what.snapshot->fleet);
    this->estimator.set_fleet(what.snapshot->fleet);
    // An earlier instance list may name upstreams that only the new fleet
    // document defines.
    this->planner.set_listed(this->instance_listing.instances);
    this->update_home_data_centres();
    this->set_entries();
}

void scheduler::on(const instances_listed& what)
{
    this->instance_listing = what.list;
    this->planner.set_listed(this->instance_listing.instances);
    this->set_entries();
}

void scheduler::on(const upstream_reported& what)
{
    this->planner.reported(what.report, this->now);
}

void scheduler::on(const upstream_cache_changed& what)
{
    this->planner.cache_changed(what.change, this->now);
}

void scheduler::on(const own_listing_read& what)
{
    this->desk.listed(what.as_of, this->now);
}

void scheduler::on(const peer_heartbeat& what)
{
    this->planner.peer_heard(what.beat.slot, this->now);
    this->desk.heard_of(what.beat.slot, what.beat.incarnation);
    for (const auto& known : what.beat.known_incarnations)
        this->desk.heard_of(known.slot, known.incarnation);
    if (what.as_of)
        this->desk.heard(
            what.beat.slot, what.beat.incarnation, *what.as_of, this->now);
}

void scheduler::on(const stop_begun& what)
{
    static_cast<void>(what);
    this->stop_requested = true;
}

void scheduler::on(const stop_forced& what)
{
    static_cast<void>(what);
    this->stop_requested = true;
    std::vector<base::request_id> left;
    for (const auto& [id, item] : this->requests)
        left.push_back(id);
    std::sort(left.begin(), left.end());
    for (const base::request_id id : left) {
        request& item = this->requests.at(id);
        const bool running =
            item.phase == phase::dispatched || item.phase == phase::resuming;
        if (running) {
            const bool cancel =
                item.spec.repetition == base::repetition::idempotent;
            this->break_stream(item, cancel);
            this->planner.ended(item.dispatch, this->now);
            item.may_have_run = true;
        }
        this->end_with_verdict(item, base::not_run(base::reason::stopping));
    }
}

} // namespace greengagedrum::delivery
