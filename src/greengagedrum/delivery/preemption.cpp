// Preemption: cancels a request of a lower tier and dispatches one of a higher
// tier in its slot.
//
// Used when an overdraft is not possible. Only preemptible idempotent requests
// are cancelled, so only their prefill is lost; the request that loses the
// fewest prefill tokens is selected.
#include <greengagedrum/delivery/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::delivery
{

bool scheduler::preempt_lower_tier(request& item, rooms_view rooms)
{
    request* best = nullptr;
    double least_lost = 0;
    for (const placement::room& room : rooms) {
        for (const admission::running_request* lower :
             this->running_requests.lower_tier_requests(room.upstream,
                                                        item.spec.tier)) {
            request& one = this->requests.at(lower->request);
            if (!this->may_be_preempted(one))
                continue;
            const double lost = this->lost_prefill_tokens(one);
            if (best != nullptr && lost >= least_lost)
                continue;
            best = &one;
            least_lost = lost;
        }
    }
    if (best == nullptr)
        return false;
    const base::upstream_id freed = best->upstream;
    this->count.preempted += 1;
    this->count.prefill_wasted += static_cast<std::uint64_t>(least_lost);
    this->requeue_preempted(*best);
    this->dispatch(item, freed);
    return true;
}

// A request is not preempted when it would then miss its deadline, nor more
// than `preemptions_max` times, so that long requests finish eventually.
bool scheduler::may_be_preempted(const request& item) const
{
    const base::request_spec& work = item.spec;
    return work.preemptible &&
           work.repetition == base::repetition::idempotent &&
           item.caller_present && is_running(item.phase) &&
           item.preemptions < this->options.admission.preemptions_max &&
           this->now + this->estimator.expected_run_time(work) <= work.deadline;
}

// Prompt tokens whose prefill would have to be repeated: all of them once the
// first token was received, otherwise in proportion to the elapsed time.
double scheduler::lost_prefill_tokens(const request& item) const
{
    const double prompt = item.spec.prompt_tokens;
    const admission::running_request* run =
        this->running_requests.find(item.id);
    if (item.tokens_received > 0 || run == nullptr)
        return prompt;
    const double elapsed =
        static_cast<double>((this->now - run->dispatched_at).count());
    const double full_time = static_cast<double>(
        std::max(this->estimator.expected_prefill_time(item.spec),
                 base::duration{1})
            .count());
    return prompt * std::min(1.0, elapsed / full_time);
}

// The cancelled dispatch does not count as an attempt, as it did not fail.
void scheduler::requeue_preempted(request& item)
{
    this->break_stream(item, true);
    this->planner.ended(item.dispatch, this->now);
    this->dispatches.erase(item.dispatch);
    item.may_have_run = true;
    item.dispatches -= 1;
    item.preemptions += 1;
    item.tokens_received = 0;
    this->change_phase(item, phase::backing_off);
    this->change_phase(item, phase::queued);
    this->enqueue(item);
}

} // namespace greengagedrum::delivery
