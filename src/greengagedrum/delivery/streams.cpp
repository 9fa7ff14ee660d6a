// Dispatches, the streams of their answers, and the recovery of a stream that
// ends before its answer is complete.
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::delivery
{

void scheduler::dispatch(request& item, base::upstream_id upstream)
{
    this->change_phase(item, phase::dispatched);
    item.dispatch =
        base::dispatch_id{this->options.incarnation, this->next_dispatch++};
    item.upstream = upstream;
    item.tokens_received = 0;
    item.resume_attempts = 0;
    item.dispatches += 1;
    item.last_progress = this->now;
    if (item.holds_claim && !item.may_have_run)
        this->desk.dispatched(item.id);
    this->dispatches.emplace(item.dispatch, item.id);
    this->running_requests.add({item.id, item.spec, upstream, this->now});
    this->planner.sent(item.dispatch, upstream, item.spec, this->now);
    this->set_progress_timer(item);
    this->count.dispatched += 1;
    item.connection += 1;
    this->out->push_back(
        start_dispatch{item.id, item.dispatch, upstream, item.connection});
}

// An upstream without a model (a plain service) reports no progress before its
// answer, and its stream can't be resumed. If the timer closed its connection
// early, an at-most-once request would end as may_have_run although its answer
// was about to arrive. Such a request is therefore waited for until its
// deadline.
void scheduler::set_progress_timer(request& item)
{
    const base::instant silent =
        this->now + this->planner.patience(item.dispatch, this->now);
    const bool only_try =
        item.spec.model.empty() &&
        item.spec.repetition == base::repetition::at_most_once;
    this->timers.set(item,
                     only_try ? std::max(silent, item.spec.deadline) : silent);
}

// Nothing was written, so the dispatch does not count: every request is queued
// again after a backoff, also an at-most-once one, and stays not_run unless
// another dispatch was made.
void scheduler::on(const connect_refused& what)
{
    request* item = this->find_by_dispatch(what.dispatch);
    if (item == nullptr || item->phase != phase::dispatched ||
        item->connection != what.connection || item->tokens_received > 0)
        return;
    this->planner.refused(item->upstream, this->now);
    this->planner.ended(item->dispatch, this->now);
    this->dispatches.erase(item->dispatch);
    item->dispatches -= 1;
    item->connect_refusals += 1;
    if (item->holds_claim && !item->may_have_run)
        this->desk.not_dispatched(item->id);
    item->avoided_upstreams.push_back(item->upstream);
    if (!item->caller_present)
        return this->end_with_verdict(*item,
                                      base::not_run(base::reason::stopping));
    // Without a backoff, a request would be tried at one upstream after the
    // other in a busy loop until its deadline when all of them are down.
    this->change_phase(*item, phase::backing_off);
    const base::duration wait = backoff(
        this->options.retry_backoff, item->connect_refusals, this->random());
    this->timers.set(*item, std::min(this->now + wait, item->spec.deadline));
}

void scheduler::on(const stream_progressed& what)
{
    request* item = this->find_by_dispatch(what.dispatch);
    if (item == nullptr || item->dispatch != what.dispatch)
        return;
    if (item->phase == phase::resuming)
        return;
    item->tokens_received = std::max(item->tokens_received, what.tokens);
    item->resume_attempts = 0;
    item->last_progress = this->now;
    this->planner.progressed(item->dispatch, what.tokens, this->now);
    this->set_progress_timer(*item);
}

void scheduler::on(const stream_finished& what)
{
    request* item = this->find_by_dispatch(what.dispatch);
    if (item == nullptr || item->dispatch != what.dispatch)
        return;
    this->planner.finished(item->dispatch,
                           what.answer ? what.answer->tokens : 0,
                           what.cached_tokens);
    this->end_with_answer(*item, what.answer);
}

void scheduler::on(const stream_broken& what)
{
    request* item = this->find_by_dispatch(what.dispatch);
    if (item == nullptr || item->dispatch != what.dispatch ||
        item->phase != phase::dispatched || item->connection != what.connection)
        return;
    if (what.cause == break_cause::no_connection ||
        what.cause == break_cause::refused)
        this->planner.refused(item->upstream, this->now);
    this->handle_broken_stream(*item, what.cause);
}

// A broken stream is resumed where it stopped: the upstream usually still has
// it, and the prefill need not be repeated. It is not resumed when the upstream
// does not know the stream (it restarted or never received the request),
// refuses to serve it or sends malformed data.
//
// An upstream that refuses connections has lost its process and the stream with
// it; a few attempts confirm that. An unreachable upstream is more likely cut
// off by a network partition and still runs the request. An at-most-once
// request can't be run elsewhere, so its stream is retried for
// `unreachable_resume_window`, the usual length of a partition.
void scheduler::handle_broken_stream(request& item, break_cause cause)
{
    const bool lost = cause == break_cause::unknown_stream ||
                      cause == break_cause::refused ||
                      cause == break_cause::malformed;
    if (lost || item.spec.model.empty())
        return this->retry_or_end(item, base::reason::upstream_failed);
    this->change_phase(item, phase::resuming);
    const bool cut_off =
        cause == break_cause::unreachable &&
        item.spec.repetition == base::repetition::at_most_once &&
        this->now - item.last_progress <
            this->options.unreachable_resume_window;
    if (cut_off && item.resume_attempts > 0)
        item.resume_attempts -= 1;
    this->schedule_resume(item);
}

void scheduler::schedule_resume(request& item)
{
    if (item.resume_attempts >= this->options.resumes_max)
        return this->retry_or_end(item, base::reason::upstream_failed);
    item.resume_attempts += 1;
    const base::duration wait = backoff(
        this->options.resume_backoff, item.resume_attempts, this->random());
    this->timers.set(item, this->now + wait);
}

void scheduler::resume(request& item)
{
    this->change_phase(item, phase::dispatched);
    this->count.resumed += 1;
    this->count.resumed_by_tier[base::index_of(item.spec.tier)] += 1;
    this->set_progress_timer(item);
    this->out->push_back(start_resume{.request = item.id,
                                      .dispatch = item.dispatch,
                                      .upstream = item.upstream,
                                      .connection = ++item.connection,
                                      .offset = item.tokens_received});
}

// Abandons the dispatch. An idempotent request is retried within its deadline,
// its maximum number of dispatches and the retry budget; any other request
// ends.
void scheduler::retry_or_end(request& item, base::reason why)
{
    this->planner.ended(item.dispatch, this->now);
    this->dispatches.erase(item.dispatch);
    item.may_have_run = true;
    const bool repeatable =
        item.spec.repetition == base::repetition::idempotent &&
        item.caller_present && item.dispatches < this->options.dispatches_max &&
        this->now < item.spec.deadline && this->retries.try_withdraw();
    if (!repeatable)
        return this->end_with_verdict(item, base::may_have_run(why));
    this->count.retried += 1;
    this->count.retried_by_tier[base::index_of(item.spec.tier)] += 1;
    this->count_wasted_prefill(item);
    item.avoided_upstreams.push_back(item.upstream);
    this->change_phase(item, phase::backing_off);
    const base::duration wait =
        backoff(this->options.retry_backoff, item.dispatches, this->random());
    this->timers.set(item, std::min(this->now + wait, item.spec.deadline));
}

void scheduler::count_wasted_prefill(const request& item)
{
    const std::uint64_t tokens = item.spec.prompt_tokens;
    this->count.prefill_wasted += tokens;
    this->count.prefill_wasted_by_tier[base::index_of(item.spec.tier)] +=
        tokens;
}

void scheduler::break_stream(const request& item, bool cancel)
{
    this->out->push_back(stop_stream{
        item.id, item.dispatch, item.upstream, item.connection, cancel});
}

} // namespace greengagedrum::delivery
