// The part of request_handler that passes events to the scheduler and executes
// the actions it returns.
#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/rate_limit_log.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/stream_versions.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/relay/connect_check.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// A process that exits may close its listening socket later than its
// connections, so the connect check waits this long.
constexpr base::duration connect_check_delay = std::chrono::milliseconds(20);

} // namespace

std::shared_ptr<exchange>
request_handler::make_exchange(const relay::caller_ptr& from, request_info info)
{
    exchange::owner_events owner;
    const base::request_id id = info.id;
    owner.on_event = [this](const traffic::event& event) {
        this->submit_event(event);
    };
    owner.on_send_ended = [this, id](const send_outcome& outcome) {
        this->log_send_outcome(id, outcome);
    };
    owner.memory = this->state.memory;
    owner.on_invalid_limit = [this](const std::string& upstream) {
        this->state.log.write(this->state.clock(),
                              "exchange",
                              "rate_limit_unreadable",
                              {{"upstream", upstream}});
    };
    owner.may_keep = [this](const routing::published_upstream& to) {
        return this->may_keep_connection(to);
    };
    return std::make_shared<exchange>(this->context,
                                      this->paths,
                                      this->kept,
                                      from,
                                      std::move(info),
                                      std::move(owner));
}

// Executing an action may submit another event at once. That event is processed
// after all actions of the current one have been executed.
void request_handler::submit_event(const traffic::event& event)
{
    this->pending_events.push_back(event);
    if (this->processing_events)
        return;
    const auto done = this->begin_processing();
    this->process_pending_events();
}

void request_handler::process_pending_events()
{
    while (!this->pending_events.empty()) {
        const traffic::event event = this->pending_events.front();
        this->pending_events.erase(this->pending_events.begin());
        this->record_progress(event);
        this->handle_misdirection(event);
        if (this->state.delegating)
            this->send_statuses.record(event);
        traffic::actions actions;
        this->state.scheduler.step(event, this->state.clock(), actions);
        this->execute(actions);
    }
}

void request_handler::record_progress(const traffic::event& event)
{
    const auto* progress = std::get_if<traffic::events_received>(&event);
    if (progress == nullptr)
        return;
    const auto found = this->requests.find(progress->request);
    if (found == this->requests.end())
        return;
    active_request& request = found->second;
    const base::instant now = this->state.clock();
    if (!request.first_event_at)
        request.first_event_at = now;
    else
        request.longest_gap =
            std::max(request.longest_gap, now - request.last_event_at);
    request.last_event_at = now;
}

bool request_handler::active_request::in_time(base::instant first_event) const
{
    const bool steady = this->gap_objective.count() == 0 ||
                        this->longest_gap <= this->gap_objective;
    return steady && first_event - this->arrived <= this->objective;
}

void request_handler::handle_misdirection(const traffic::event& event)
{
    const auto* rejected = std::get_if<traffic::send_rejected>(&event);
    if (rejected == nullptr ||
        rejected->cause != traffic::rejection::misdirected)
        return;
    const auto found = this->sent_to.find(rejected->request);
    if (found != this->sent_to.end())
        this->mark_misdirected(found->second);
}

void request_handler::mark_misdirected(base::upstream_id upstream)
{
    this->apply_upstream_changes(this->state.cluster.mark_misdirected(
        upstream,
        routing::spans_regions(this->state.regions) &&
            !this->state.delegating));
}

void request_handler::apply_upstream_changes(const cluster_changes& changes)
{
    const base::instant now = this->state.clock();
    this->close_outdated_connections(changes);
    for (const removed_upstream& one : changes.removed)
        this->state.scheduler.upstream_left(one.id);
    // The same changes may have removed an upstream that they added.
    for (const routing::published_upstream& one : changes.added) {
        if (this->state.cluster.upstreams().find_usable(one.id) != nullptr)
            this->state.scheduler.upstream_joined(one, now);
    }
}

void request_handler::execute(const traffic::actions& actions)
{
    for (const traffic::action& one : actions)
        std::visit([this](const auto& action) { this->execute_action(action); },
                   one);
    // A request asks for another slot, or no longer does, without an action.
    const std::size_t waiting = this->state.scheduler.waiting();
    const bool asks_changed =
        this->state.delegating && waiting != this->waiting_before;
    this->waiting_before = waiting;
    if (!actions.empty() || asks_changed)
        this->on_load_changed();
}

void request_handler::execute_action(const traffic::send_request& action)
{
    if (dispatch::member_request_table::is_member_request(action.request))
        return this->grant_slot(action);
    active_request& request = this->requests.at(action.request);
    const base::instant now = this->state.clock();
    const routing::published_upstream* to =
        this->state.cluster.upstreams().find_usable(action.upstream);
    if (to == nullptr || !this->may_send(request, *to)) {
        // The upstream was removed earlier in this iteration of the loop, or is
        // not one of the request's.
        return this->submit_event(
            traffic::connect_failed{action.request, action.send});
    }
    this->sent_to[action.request] = action.upstream;
    request.last_sent_at = now;
    request.upstream = to->name;
    if (!request.sent_at) {
        request.sent_at = now;
        if (request.counted_here)
            this->state.limiter.on_sent(request.workspace, request.cost, now);
    }
    const std::shared_ptr<exchange> http_exchange = request.http_exchange;
    this->state.log.write(
        now,
        "scheduler",
        "request_sent",
        {{"request", http_exchange->info().marks.attempt},
         {"send", action.send},
         {"upstream", to->name},
         {"waited_ms", to_milliseconds(action.choice.waited)},
         {"own", action.choice.own_requests},
         {"others", action.choice.peer_requests},
         {"places", action.choice.slots},
         {"told_age_ms", to_milliseconds(action.choice.peer_report_age)},
         {"expected_ms", to_milliseconds(action.choice.expected_first_event)},
         {"gap_ms", to_milliseconds(action.choice.expected_gap)},
         {"suits", action.choice.suitability},
         {"store_revision", this->state.cluster.store_revision()}});
    http_exchange->send(action.send, *to, action.deadline - now);
}

void request_handler::execute_action(const traffic::cancel_send& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    found->second.http_exchange->stop_send();
    send_outcome cancelled;
    cancelled.send_number = action.send;
    cancelled.error = "cancelled by the scheduler";
    if (action.cause == traffic::cancel_cause::upstream_silent)
        cancelled.error += ": upstream silent";
    if (action.cause == traffic::cancel_cause::carrier_stopping)
        cancelled.error += ": peer stopping";
    this->log_send_outcome(action.request, cancelled);
}

void request_handler::execute_action(const traffic::deliver_answer& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> http_exchange = found->second.http_exchange;
    this->finish(action.request, nullptr);
    http_exchange->deliver(this->state.stopping);
}

void request_handler::execute_action(const traffic::end_request& action)
{
    if (dispatch::member_request_table::is_member_request(action.request))
        return this->deny_slot(action);
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> http_exchange = found->second.http_exchange;
    if (!action.missing_version.empty())
        this->report_missing_version(*http_exchange, action.missing_version);
    if (action.verdict.run == base::run_state::not_run)
        this->refund_cost(found->second);
    if (action.stop)
        this->state.log.write(
            this->state.clock(),
            "scheduler",
            "request_stopped",
            {{"request", http_exchange->info().marks.attempt},
             {"verdict", base::to_string(action.verdict.run)},
             {"expected_ms", to_milliseconds(action.stop->expected)},
             {"left_ms", to_milliseconds(action.stop->left)}});
    this->finish(action.request, &action.verdict);
    http_exchange->fail(action.verdict);
}

// Runs a single connect check per upstream, however many connections to it were
// lost.
void request_handler::execute_action(const traffic::check_upstream& action)
{
    const routing::published_upstream* to =
        this->state.cluster.upstreams().find_alive(action.upstream);
    if (to == nullptr)
        return this->submit_event(
            traffic::upstream_checked{action.upstream, false});
    if (!this->connect_checks.insert(action.upstream).second)
        return;
    const auto check = std::make_shared<relay::connect_check>(
        this->context, [this, upstream = action.upstream](bool accepts) {
            this->connect_checks.erase(upstream);
            this->submit_event(traffic::upstream_checked{upstream, accepts});
        });
    check->start(to->address, connect_check_delay);
}

void request_handler::execute_action(const traffic::suspicion_changed& change)
{
    const routing::published_upstream* upstream =
        this->state.cluster.upstreams().find_alive(change.upstream);
    this->state.log.write(
        this->state.clock(),
        "scheduler",
        change.suspected ? "upstream_suspected" : "upstream_cleared",
        {{"upstream", upstream == nullptr ? std::string() : upstream->name},
         {"cause", change.cause},
         {"bad_share", change.failure_rate}});
}

void request_handler::execute_action(const traffic::rate_limit_changed& change)
{
    log_rate_limit(this->state, change, "own");
}

void request_handler::execute_action(
    const quarantine::quarantine_state_change& change)
{
    log_crash_suspect(this->state, change, "own");
}

void request_handler::execute_action(const traffic::stream_bound& action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end())
        return;
    active_request& request = found->second;
    request.version = action.version;
    request.recorded_at = this->state.clock();
    this->state.log.write(
        this->state.clock(),
        "scheduler",
        "stream_bound",
        {{"request", request.http_exchange->info().marks.attempt},
         {"version", base::to_hex(action.version.value)},
         {"upstream", request.upstream}});
    this->versions.record(first_attempt_of(request.http_exchange->info()),
                          action.version);
}

void request_handler::report_missing_version(const exchange& http_exchange,
                                             base::version_id version)
{
    this->state.metrics.add(
        telemetry::process_count{telemetry::counter::requests_without_version});
    this->state.log.write(this->state.clock(),
                          "scheduler",
                          "version_unavailable",
                          {{"request", http_exchange.info().marks.attempt},
                           {"version", base::to_hex(version.value)}});
}

void request_handler::finish(base::request_id id, const base::verdict* failed)
{
    const auto found = this->requests.find(id);
    const active_request& request = found->second;
    const base::instant now = this->state.clock();
    const base::duration total_time = now - request.arrived;
    const std::shared_ptr<exchange>& http_exchange = request.http_exchange;
    telemetry::request_ended ended;
    ended.series = request.series;
    if (failed != nullptr)
        ended.failed = *failed;
    const base::instant first_event = request.first_event_at.value_or(now);
    ended.in_time = request.in_time(first_event);
    ended.total = total_time;
    if (request.sent_at)
        ended.queue_wait = *request.sent_at - request.arrived;
    if (request.first_event_at)
        ended.first_token = first_event - request.arrived;
    this->state.metrics.add(ended);
    if (failed == nullptr)
        this->state.log.write(
            now,
            "front",
            "request_answered",
            {{"request", http_exchange->info().marks.attempt},
             {"status", http_exchange->status()},
             {"total_ms", to_milliseconds(total_time)},
             {"first_ms", to_milliseconds(first_event - request.arrived)},
             {"longest_gap_ms", to_milliseconds(request.longest_gap)},
             {"objective_ms", to_milliseconds(request.objective)},
             {"gap_objective_ms", to_milliseconds(request.gap_objective)},
             {"in_time", ended.in_time}});
    else
        this->state.log.write(now,
                              "scheduler",
                              "request_ended",
                              {{"request", http_exchange->info().marks.attempt},
                               {"verdict", base::to_string(failed->run)},
                               {"why", base::to_string(failed->why)},
                               {"total_ms", to_milliseconds(total_time)},
                               {"waiting", this->state.scheduler.waiting()},
                               {"retry_after_ms",
                                to_milliseconds(failed->retry_after.value_or(
                                    base::duration(0)))}});
    this->by_caller.erase(http_exchange->caller_connection().get());
    this->sent_to.erase(id);
    this->requests.erase(found);
}

void request_handler::log_send_outcome(base::request_id id,
                                       const send_outcome& outcome)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const active_request& request = found->second;
    const base::instant now = this->state.clock();
    this->state.log.write(
        now,
        "exchange",
        outcome.error.empty() ? "send_answered" : "send_failed",
        {{"request", request.http_exchange->info().marks.attempt},
         {"digest", base::to_hex(request.digest)},
         {"send", outcome.send_number},
         {"upstream", request.upstream},
         {"ran_ms", to_milliseconds(now - request.last_sent_at)},
         {"status", outcome.status},
         {"events", outcome.event_count},
         {"framing", to_string(outcome.framing)},
         {"unfinished_bytes", outcome.unfinished_bytes},
         {"via", outcome.via},
         {"reused", outcome.reused},
         {"why", outcome.error}});
}

} // namespace greengagedrum::entry
