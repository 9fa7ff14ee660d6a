// Delegation: requests of this entry that another entry dispatches.
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// A request that has or had a silent upstream and was denied another slot asks
// again after this time. A report without it comes first, so that the next one
// that lists it is a new question.
constexpr base::duration ask_again_after = std::chrono::milliseconds(250);

} // namespace

std::vector<queued_send> scheduler::queued_sends(base::instant at) const
{
    std::vector<queued_send> out;
    for (const auto& [id, item] : this->requests) {
        if (!item.queued || this->waits_for_copy(item))
            continue;
        queued_send one{id, item.connects + 1, item.facts, item.tried};
        const base::duration first = this->first_event_expected(item);
        one.facts.time_left = item.deadline - at;
        one.facts.caller_time_left = item.caller_deadline - at;
        one.facts.first_event_timeout =
            std::max(base::duration(0), item.give_up_at + first - at);
        one.facts.delegated = true;
        one.facts.attempts_max = 1;
        one.facts.prior_sends = item.connects;
        out.push_back(std::move(one));
    }
    return out;
}

std::vector<active_send> scheduler::active_sends() const
{
    std::vector<active_send> out;
    for (const auto& [id, item] : this->requests) {
        if (item.send == 0)
            continue;
        const std::uint32_t unread =
            item.events == 0 ? item.facts.prompt_tokens : 0;
        out.push_back({id, item.send, item.upstream, unread});
    }
    return out;
}

// Null unless the request is still queued for exactly that send. A reply may
// arrive twice, or after its request was given up.
scheduler::request* scheduler::find_queued(base::request_id id,
                                           std::uint32_t send)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || !found->second.queued ||
        found->second.connects + 1 != send)
        return nullptr;
    return &found->second;
}

void scheduler::on(const slot_granted& what)
{
    request* item = this->find_queued(what.request, what.send);
    if (item == nullptr || this->paused || !this->delegating)
        return;
    if (item->send == 0 && this->is_quarantined(*item))
        return this->refuse_quarantined(*item);
    if (item->uncertain == 0 && this->outlasts_stop(*item))
        return this->refuse_stopping(*item);
    if (this->waits_for_copy(*item)) {
        item->connects += 1;
        return;
    }
    if (!this->pool.is_available(what.upstream,
                                 item->facts.service,
                                 item->facts.allowed_data_centres,
                                 item->facts.version)) {
        // The upstream has left, is of another service, is outside the
        // request's allowed data centres or has another version, as this entry
        // already knows, or is not known here yet. Another slot is requested
        // under the next send number. The next report no longer lists this one,
        // so the dispatcher frees its slot and counts no failure of the
        // upstream.
        exclude(*item, what.upstream);
        item->connects += 1;
        return;
    }
    if (item->send != 0 && !this->give_up_silent_send(*item))
        return;
    this->queues[item->facts.service].remove(item->id);
    dispatch_choice where;
    where.upstream = what.upstream;
    where.expected = placement::seconds_of(what.expected);
    where.choice.peer_requests = what.taken;
    where.choice.slots = what.places;
    where.choice.expected_first_event = what.expected;
    where.choice.suitability = "granted";
    this->send(*item, where);
}

void scheduler::on(const slot_denied& what)
{
    request* item = this->find_queued(what.request, what.send);
    if (item == nullptr || !this->delegating)
        return;
    if (item->send != 0) {
        item->denied_until = this->now + ask_again_after;
        return this->leave_queue(*item);
    }
    if (!item->facts.version.empty() &&
        what.verdict.why == base::reason::no_upstream)
        return this->end_without_version(*item);
    // The upstream that it has left may go on, so it waits for a slot there.
    if (item->replaces_silent && item->uncertain > 0 &&
        what.verdict.why != base::reason::quarantined) {
        item->denied_until = this->now + ask_again_after;
        item->queued = false;
        this->queues[item->facts.service].remove(item->id);
        return;
    }
    if (item->uncertain > 0)
        return this->fail(*item, what.verdict.why);
    this->end(*item, what.verdict);
}

} // namespace greengagedrum::traffic
