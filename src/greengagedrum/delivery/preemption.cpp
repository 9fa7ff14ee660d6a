// Cancelling a lower request so that a higher one takes its place.
//
// The last way to make room before a request has to be shed. Only work that
// may be repeated is cancelled, so nothing is lost but the prefill: that of
// the request with the least of it.
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::delivery
{

bool scheduler::preempt_for(request& item, rooms_view rooms)
{
    request* best = nullptr;
    double least = 0;
    for (const placement::room& room : rooms) {
        for (const admission::running_request* lower :
             this->run_set.lower_tier_requests(room.upstream, item.work.tier)) {
            request& one = this->requests.at(lower->request);
            if (!this->may_be_preempted(one))
                continue;
            const double thrown = this->prefill_thrown(one);
            if (best != nullptr && thrown >= least)
                continue;
            best = &one;
            least = thrown;
        }
    }
    if (best == nullptr)
        return false;
    const base::upstream_id freed = best->upstream;
    this->count.preempted += 1;
    this->count.prefill_wasted += static_cast<std::uint64_t>(least);
    this->return_to_line(*best);
    this->dispatch(item, freed);
    return true;
}

// Not a request that would then miss its deadline; not one over and over, for
// long work has to end some day.
bool scheduler::may_be_preempted(const request& item) const
{
    const base::request_spec& work = item.work;
    return work.preemptible &&
           work.repetition == base::repetition::idempotent &&
           item.caller_present && is_running(item.phase) &&
           item.preemptions < this->options.admission.preemptions_max &&
           this->now + this->estimator.expected_run_time(work) <= work.deadline;
}

// Tokens of its prompt that would have to be read again: all of them once an
// answer has begun, else in proportion to the time it has had.
double scheduler::prefill_thrown(const request& item) const
{
    const double prompt = item.work.prompt_tokens;
    const admission::running_request* run = this->run_set.find(item.id);
    if (item.tokens_seen > 0 || run == nullptr)
        return prompt;
    const double had =
        static_cast<double>((this->now - run->dispatched_at).count());
    const double whole = static_cast<double>(
        std::max(this->estimator.expected_prefill_time(item.work),
                 base::duration{1})
            .count());
    return prompt * std::min(1.0, had / whole);
}

// Not counted against its tries: it did not fail.
void scheduler::return_to_line(request& item)
{
    this->break_stream(item, true);
    this->planner.ended(item.dispatch, this->now);
    this->dispatches.erase(item.dispatch);
    item.may_have_run = true;
    item.dispatches -= 1;
    item.preemptions += 1;
    item.tokens_seen = 0;
    this->change_phase(item, phase::waiting);
    this->change_phase(item, phase::queued);
    this->enqueue(item);
}

} // namespace greengagedrum::delivery
