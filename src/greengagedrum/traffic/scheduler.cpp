#include <greengagedrum/base/retry_after.hpp>
#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::traffic
{

using placement::duration_of;

void scheduler::step(const event& what, base::instant at, actions& into)
{
    this->now = at;
    this->out = &into;
    std::visit([this](const auto& one) { this->on(one); }, what);
    this->dispatch_all_queued();
    this->out = nullptr;
}

void scheduler::dispatch_queued(base::instant at, actions& into)
{
    this->now = at;
    this->out = &into;
    this->dispatch_all_queued();
    this->out = nullptr;
}

void scheduler::tick(base::instant at, actions& into)
{
    this->now = at;
    this->out = &into;
    this->pool.forget_silent_peers(at);
    this->suspects.remove_expired(at);
    std::vector<base::request_id> known;
    for (const auto& [id, item] : this->requests)
        known.push_back(id);
    for (const base::request_id id : known) {
        const auto found = this->requests.find(id);
        if (found != this->requests.end())
            this->check_time(found->second);
    }
    this->refuse_out_of_reach();
    this->dispatch_all_queued();
    this->out = nullptr;
}

void scheduler::on(const request_arrived& what)
{
    this->count.arrived += 1;
    request& item = this->requests[what.request];
    item.id = what.request;
    item.facts = what.facts;
    item.arrived = this->now;
    item.queued_at = this->now;
    item.deadline = this->now + what.facts.time_left;
    item.caller_deadline =
        this->now + std::max(what.facts.time_left, what.facts.caller_time_left);
    item.tried = what.tried;
    this->record_arrival(item.facts);
    const base::duration first = this->first_event_expected(item);
    const base::duration patience = what.facts.delegated
                                        ? what.facts.first_event_timeout
                                        : first_event_timeout_of(what.facts);
    item.give_up_at = std::max(this->now, item.arrived + patience - first);
    item.overtaken_from = this->now + first;
    if (this->is_quarantined(item))
        return this->refuse_quarantined(item);
    if (this->outlasts_stop(item))
        return this->refuse_stopping(item);
    if (!this->pool.has_upstream(what.facts.service,
                                 what.facts.allowed_data_centres,
                                 what.facts.version))
        return what.facts.version.empty()
                   ? this->refuse(item, base::reason::no_upstream)
                   : this->end_without_version(item);
    if (!this->delegating && this->cannot_meet_deadline(item))
        return this->refuse(item, base::reason::overloaded);
    this->join_queue(item);
}

// Updates the statistics of arrivals. A later send of another entry's request
// is not a further request, and that entry counts its own retries.
void scheduler::record_arrival(const request_facts& facts)
{
    if (!facts.delegated)
        this->retries.arrived(facts.service, this->now);
    if (facts.prior_sends > 0)
        return;
    this->queues[facts.service].arrived(facts.kind, facts.priority, this->now);
    this->figures[facts.service].arrived += 1;
}

scheduler::request* scheduler::find_active_send(base::request_id id,
                                                std::uint32_t send)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.send == 0 ||
        found->second.send != send)
        return nullptr;
    return &found->second;
}

void scheduler::record_failure(base::upstream_id upstream, failure_kind what)
{
    this->tell(this->pool.record_failure(upstream, what, this->now));
}

void scheduler::tell(const std::optional<suspicion_changed>& change)
{
    if (change)
        this->out->push_back(*change);
}

base::slot_id scheduler::sender_of(const request& item)
{
    return item.facts.sender.empty() ? this_entry : item.facts.sender;
}

void scheduler::record_connect_failure(const request& item)
{
    const reachability::connect_verdict verdict =
        this->pool.reachability().on_connect_failed(
            sender_of(item), item.upstream, item.sent_at, this->now);
    if (verdict.counts)
        this->record_failure(item.upstream, failure_kind::unreachable);
    else
        this->pool.probe_inconclusive(item.upstream);
    for (const base::upstream_id one : verdict.retracted)
        this->tell(this->pool.record_success(one));
}

void scheduler::record_reached(const request& item)
{
    if (this->pool.reachability().on_reached(
            sender_of(item), item.upstream, item.sent_at))
        this->tell(this->pool.record_success(item.upstream));
}

void scheduler::on(const send_rejected& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr)
        return;
    if (what.cause == rejection::not_run)
        this->record_reached(*item);
    this->pool.probe_inconclusive(item->upstream);
    this->suspects.on_not_run(features_of(*item), item->sent_at);
    exclude(*item, item->upstream);
    this->end_send(*item);
    item->uncertain -= 1;
    if (item->replaces_silent ? this->queue_replacement(*item)
                              : this->queue_retry(*item))
        return;
    if (this->lacks_version(*item))
        return this->end_without_version(*item);
    // An earlier send of an idempotent request may have run it.
    if (item->uncertain > 0)
        return this->fail(*item, base::reason::upstream_failed);
    this->refuse(*item, base::reason::overloaded);
}

void scheduler::on(const events_received& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr || what.events <= item->events)
        return;
    this->tell(this->suspects.on_upstream_answered(item->upstream, this->now));
    if (item->events == 0)
        this->pool.first_event(item->upstream,
                               item->facts.prompt_tokens,
                               this->now - item->sent_at,
                               item->expected,
                               this->now);
    if (item->events == 0) {
        item->first_event_at = this->now;
        item->replaces_silent = false;
        this->record_reached(*item);
    }
    const base::duration gap =
        item->events == 0 ? base::duration{0} : this->now - item->progress_at;
    // For a delegated request, its entry reports only the first event.
    this->pool.progressed(
        item->upstream, what.events - item->events, gap, this->now);
    item->events = what.events;
    item->progress_at = this->now;
    if (item->paused_at)
        item->paused_at = this->now;
    item->silence_reported = false;
    if (!item->carrier_stops)
        this->leave_queue(*item);
    this->record_answer_begun(*item);
    this->bind_to_version(*item);
}

void scheduler::on(const answer_received& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr)
        return;
    const base::upstream_id upstream = item->upstream;
    this->record_answer(*item, what.generated);
    this->record_reached(*item);
    if (what.successful) {
        this->tell(this->pool.record_success(upstream));
        if (item->events == 0)
            this->pool.first_event(upstream,
                                   item->facts.prompt_tokens,
                                   this->now - item->sent_at,
                                   item->expected,
                                   this->now);
        if (item->events > 1)
            this->pool.record_output(upstream,
                                     item->facts.output_tokens,
                                     this->now - item->first_event_at,
                                     this->now);
        this->queues[item->facts.service].record_hold(
            item->facts.kind, this->now - item->sent_at);
    } else {
        this->record_failure(upstream, failure_kind::failing);
    }
    const std::uint32_t send = item->send;
    this->end_send(*item);
    if (!what.successful && this->may_repeat(*item)) {
        exclude(*item, upstream);
        // Without another upstream the retry would wait until the deadline.
        if (this->pool.has_usable(
                this->query_for(*item), upstream, this->delegating) &&
            this->queue_retry(*item))
            return;
    }
    this->count.delivered += 1;
    this->out->push_back(deliver_answer{item->id, send});
    this->forget(*item);
}

void scheduler::on(const answer_interrupted& what)
{
    request* item = this->find_active_send(what.request, what.send);
    if (item == nullptr)
        return;
    if (what.cause == interruption_cause::reused_connection_lost ||
        what.cause == interruption_cause::memory_short) {
        // The same upstream may serve the next send.
        this->pool.probe_inconclusive(item->upstream);
    } else {
        this->record_failure(item->upstream,
                             what.cause ==
                                     interruption_cause::stream_not_resumed
                                 ? failure_kind::failing
                                 : failure_kind::broken);
        exclude(*item, item->upstream);
    }
    if (what.cause == interruption_cause::stream_not_resumed)
        this->record_reached(*item);
    if (what.cause == interruption_cause::connection_lost)
        this->record_crash(*item);
    this->end_send(*item);
    if (this->may_repeat(*item)) {
        if (this->queue_retry(*item))
            return;
        if (this->lacks_version(*item))
            return this->end_without_version(*item);
    }
    this->fail(*item, base::reason::upstream_failed);
}

void scheduler::on(const rate_limit_read& what)
{
    const bool changed = this->pool.announced_limits().record(
        {what.upstream, what.per_second, base::duration(0)},
        limit_source::own_group,
        this->now);
    if (changed)
        this->out->push_back(
            rate_limit_changed{what.upstream, what.per_second});
}

void scheduler::on(const caller_left& what)
{
    const auto found = this->requests.find(what.request);
    if (found == this->requests.end())
        return;
    request& item = found->second;
    this->count.left += 1;
    if (item.send != 0) {
        this->record_unfinished(item);
        this->pool.probe_inconclusive(item.upstream);
        this->end_send(item);
    }
    this->forget(item);
}

void scheduler::refuse(request& item, base::reason why)
{
    // Entries know of each other's queues and slots by reports of that age, so
    // a caller that came back sooner would find the same state.
    constexpr base::duration reports_renewed = std::chrono::milliseconds(200);
    const base::duration needed =
        std::max(this->wait_expected(item), reports_renewed);
    this->end(
        item,
        base::not_run(
            why, base::retry_after(needed, item.caller_deadline - this->now)));
}

void scheduler::fail(request& item, base::reason why)
{
    if (item.uncertain == 0)
        return this->refuse(item, why);
    this->end(item, base::may_have_run(why));
}

void scheduler::end(request& item, const base::verdict& verdict)
{
    if (verdict.run == base::run_state::not_run) {
        this->count.refused += 1;
        this->figures[item.facts.service].record_refused(this->now -
                                                         item.arrived);
    } else {
        this->count.failed += 1;
    }
    const base::version_id missing =
        item.ends_without_version ? item.facts.version : base::version_id();
    end_request order{item.id, verdict, missing};
    if (verdict.why == base::reason::stopping)
        order.stop = this->stop_estimate_of(item);
    this->out->push_back(order);
    this->forget(item);
}

void scheduler::forget(request& item)
{
    if (item.queued)
        this->queues[item.facts.service].remove(item.id);
    this->bound_and_queued.erase(item.id);
    this->requests.erase(item.id);
}

void scheduler::upstream_joined(const routing::published_upstream& entry,
                                base::instant at)
{
    this->pool.join(entry, at);
}

void scheduler::upstream_left(base::upstream_id upstream)
{
    this->pool.leave(upstream);
    this->upstream_missing = true;
}

void scheduler::on_peer_report(base::slot_id peer,
                               std::span<const upstream_load> uses,
                               std::span<const queue_report> waiting,
                               base::instant at)
{
    peer_waiting& message = this->peer_queues[peer];
    this->peers_with_queues -= message.services.empty() ? 0 : 1;
    message.at = at;
    message.services.assign(waiting.begin(), waiting.end());
    this->peers_with_queues += message.services.empty() ? 0 : 1;
    this->pool.set_waiting_peers(this->peers_with_queues);
    this->pool.on_peer_report(peer, uses, at);
}

void scheduler::on_peer_lost(base::slot_id peer)
{
    this->pool.on_peer_lost(peer);
    this->pool.reachability().forget_entry(peer);
    const auto found = this->peer_queues.find(peer);
    if (found == this->peer_queues.end())
        return;
    this->peers_with_queues -= found->second.services.empty() ? 0 : 1;
    this->peer_queues.erase(found);
    this->pool.set_waiting_peers(this->peers_with_queues);
}

void scheduler::set_entry_count(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
    this->retries.set_entry_count(this->entries);
    this->pool.set_entry_count(this->entries);
}

} // namespace greengagedrum::traffic
