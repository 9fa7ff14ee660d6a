#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/delivery/unclaimed.hpp>

#include <algorithm>
#include <cassert>

namespace greengagedrum::delivery
{

namespace
{
constexpr base::duration stop_retry_hint = std::chrono::milliseconds(100);
constexpr base::duration no_upstream_hint = std::chrono::seconds(1);

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
    out.life = options.life;
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
    if (this->now >= this->shares_due)
        this->refresh_shares();
    this->desk.tick(this->now, this->desk_out);
    this->settle_claims();
    do {
        this->give_out();
        this->settle_given_up();
    } while (this->settle_claims());
    this->out = nullptr;
}

std::optional<base::instant> scheduler::next_wake() const
{
    const auto recovery = this->admission.waiting() == 0
                              ? std::nullopt
                              : this->distress.next_end(this->now);
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

request* scheduler::by_dispatch(base::dispatch_id dispatch)
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
    assert(may_follow(item.phase, to));
    if (is_running(item.phase) && !is_running(to))
        this->run_set.remove(item.id);
    item.phase = to;
}

// ---- Arrival and waiting --------------------------------------------------

void scheduler::on(const request_arrived& what)
{
    this->count.arrived += 1;
    request& item = this->requests[what.request];
    item.id = what.request;
    item.work = what.work;
    item.work.arrived = this->now;
    item.work.deadline = this->now + what.deadline_after;
    item.body_digest = what.body_digest;
    item.subject = what.subject;
    if (this->stop)
        return this->end_with(
            item, unclaimed(what, base::reason::stopping, stop_retry_hint));
    // The answer to a repeat may be kept, whatever the upstreams do now.
    if (!may_be_repeat(what) && !this->planner.servable(item.work))
        return this->end_unservable(item);
    this->retries.earn();
    this->begin_claim(item);
}

void scheduler::end_unservable(request& item)
{
    this->end_with(item,
                   base::not_run(base::reason::no_upstream, no_upstream_hint));
}

// ---- Timers ---------------------------------------------------------------

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
        this->time_in_line_over(item);
        return;
    case phase::claiming:
    case phase::attached:
        this->end_with(item,
                       base::verdict{item.run_state(),
                                     base::reason::deadline,
                                     std::nullopt});
        return;
    case phase::dispatched:
        // The connection may have gone silent for good while the upstream
        // works on (something between the two lost track of it). A fresh
        // connection finds out.
        this->planner.silent(item.upstream, this->now);
        this->break_stream(item, false);
        if (item.work.model.empty())
            return this->retry_or_end(item, base::reason::upstream_silent);
        this->change_phase(item, phase::resuming);
        this->try_resume(item);
        return;
    case phase::resuming:
        this->resume(item);
        return;
    case phase::waiting:
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

// ---- Ends -----------------------------------------------------------------

void scheduler::end_answered_with(request& item, base::answer_ptr whole)
{
    this->planner.ended(item.dispatch, this->now);
    if (const auto* ran = this->run_set.find(item.id))
        this->estimator.observe(item.work, this->now - ran->since);
    if (item.claimed)
        this->desk.answered(item.id, whole, this->now, this->desk_out);
    item.claimed = false;
    this->count.answered += 1;
    this->out->push_back(end_answered{item.id, std::move(whole)});
    this->forget(item);
}

void scheduler::end_with(request& item, base::verdict verdict)
{
    // A request that was handed over once can never be told not_run.
    if (item.may_have_run)
        verdict.run = base::run_state::may_have_run;
    verdict.run = this->close_claim(item, verdict.run);
    if (verdict.run == base::run_state::not_run)
        this->count.not_run += 1;
    else
        this->count.may_have_run += 1;
    this->out->push_back(end_failed{item.id, verdict});
    this->forget(item);
}

void scheduler::forget(request& item)
{
    this->timers.clear(item);
    this->admission.forget(item.id);
    this->run_set.remove(item.id);
    this->dispatches.erase(item.dispatch);
    this->requests.erase(item.id);
}

// The caller's connection is gone. What was handed over once is read to its
// end and kept for the caller's retry; an idempotent request is cancelled.
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
        return this->end_with(item,
                              base::verdict{item.run_state(),
                                            base::reason::deadline,
                                            std::nullopt});
    if (item.work.repetition == base::repetition::at_most_once)
        return;
    this->break_stream(item, true);
    if (item.tokens_seen > 0)
        this->waste_prefill(item);
    this->retry_or_end(item, base::reason::upstream_failed);
}

// ---- The world ------------------------------------------------------------

void scheduler::on(const config_changed& what)
{
    this->snapshot = what.snapshot;
    this->planner.set_fleet(what.snapshot->fleet);
    this->estimator.set_fleet(what.snapshot->fleet);
    // The list may have come first, with names that only this fleet knows.
    this->planner.set_listed(this->listed.instances);
    this->learn_homes();
    this->set_entries();
}

void scheduler::on(const instances_listed& what)
{
    this->listed = what.list;
    this->planner.set_listed(this->listed.instances);
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

// ---- Stopping -------------------------------------------------------------

void scheduler::on(const stop_begun& what)
{
    static_cast<void>(what);
    this->stop = true;
}

void scheduler::on(const stop_forced& what)
{
    static_cast<void>(what);
    this->stop = true;
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
                item.work.repetition == base::repetition::idempotent;
            this->break_stream(item, cancel);
            this->planner.ended(item.dispatch, this->now);
            item.may_have_run = true;
        }
        this->end_with(item, base::not_run(base::reason::stopping));
    }
}

} // namespace greengagedrum::delivery
