// The part of request_handler that passes events to the scheduler and executes
// the actions it returns.
#include <greengagedrum/entry/crash_suspect_log.hpp>
#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/relay/connect_check.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// A process that exits may close its listening socket later than its
// connections, so the connect check waits this long.
constexpr base::duration check_after = std::chrono::milliseconds(20);

} // namespace

// Executing an action may submit another event at once. That event is processed
// after all actions of the current one have been executed.
void request_handler::submit_event(const traffic::event& what)
{
    this->backlog.push_back(what);
    if (this->working)
        return;
    this->working = true;
    this->decide_backlog();
    this->working = false;
}

void request_handler::decide_backlog()
{
    while (!this->backlog.empty()) {
        const traffic::event next = this->backlog.front();
        this->backlog.erase(this->backlog.begin());
        this->note_progress(next);
        this->note_misdirection(next);
        if (this->state.delegating)
            this->journal.note(next);
        traffic::actions orders;
        this->state.scheduler.step(next, this->state.clock(), orders);
        this->execute(orders);
    }
}

void request_handler::note_progress(const traffic::event& what)
{
    const auto* progress = std::get_if<traffic::progressed>(&what);
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

bool request_handler::active_request::in_time(base::instant first) const
{
    const bool steady = this->gap_objective.count() == 0 ||
                        this->longest_gap <= this->gap_objective;
    return steady && first - this->arrived <= this->objective;
}

void request_handler::note_misdirection(const traffic::event& what)
{
    const auto* away = std::get_if<traffic::turned_away>(&what);
    if (away == nullptr || away->why != traffic::turn_away::misdirected)
        return;
    const auto found = this->sent_to.find(away->request);
    if (found != this->sent_to.end())
        this->misdirected(found->second);
}

void request_handler::misdirected(base::upstream_id upstream)
{
    this->apply_upstream_changes(
        this->state.cluster.mark_misdirected(upstream));
}

void request_handler::apply_upstream_changes(const cluster_changes& changes)
{
    const base::instant now = this->state.clock();
    for (const removed_upstream& one : changes.removed)
        this->state.scheduler.upstream_left(one.id);
    // The same changes may have removed an upstream that they added.
    for (const routing::published_upstream& one : changes.added) {
        if (this->state.cluster.upstreams().find(one.id) != nullptr)
            this->state.scheduler.upstream_joined(one, now);
    }
}

void request_handler::execute(const traffic::actions& orders)
{
    for (const traffic::action& one : orders)
        std::visit([this](const auto& order) { this->execute_action(order); },
                   one);
    if (!orders.empty())
        this->on_load_changed();
}

void request_handler::execute_action(const traffic::send_request& order)
{
    if (dispatch::dispatcher_book::is_members(order.request))
        return this->grant_slot(order);
    active_request& request = this->requests.at(order.request);
    const base::instant now = this->state.clock();
    const routing::published_upstream* to =
        this->state.cluster.upstreams().find(order.upstream);
    if (to == nullptr) {
        // The upstream was removed earlier in this iteration of the loop.
        return this->submit_event(traffic::not_sent{order.request, order.send});
    }
    this->sent_to[order.request] = order.upstream;
    request.last_sent_at = now;
    request.upstream = to->name;
    if (!request.sent_at) {
        request.sent_at = now;
        if (request.counted_here)
            this->state.limiter.sent(request.workspace, request.cost, now);
    }
    const std::shared_ptr<exchange> http_exchange = request.http_exchange;
    this->state.log.write(
        now,
        "scheduler",
        "request_sent",
        {{"request", http_exchange->source().marks.attempt},
         {"send", order.send},
         {"upstream", to->name},
         {"waited_ms", to_milliseconds(order.why.waited)},
         {"own", order.why.own},
         {"others", order.why.others},
         {"places", order.why.places},
         {"told_age_ms", to_milliseconds(order.why.told_age)},
         {"expected_ms", to_milliseconds(order.why.first_event)},
         {"gap_ms", to_milliseconds(order.why.gap)},
         {"suits", order.why.suits},
         {"store_revision", this->state.cluster.store_revision()}});
    http_exchange->send(order.send, *to, order.end_at - now);
}

void request_handler::execute_action(const traffic::stop_send& order)
{
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    found->second.http_exchange->stop_send();
    this->reported(order.request, {order.send, 0, 0, "stopped here"});
}

void request_handler::execute_action(const traffic::deliver_answer& order)
{
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> http_exchange = found->second.http_exchange;
    this->finish(order.request, nullptr);
    http_exchange->deliver(this->state.stopping);
}

void request_handler::execute_action(const traffic::end_request& order)
{
    if (dispatch::dispatcher_book::is_members(order.request))
        return this->decline_slot(order);
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> http_exchange = found->second.http_exchange;
    if (order.verdict.run == base::run_state::not_run)
        this->refund_cost(found->second);
    this->finish(order.request, &order.verdict);
    http_exchange->end(order.verdict);
}

// Runs a single connect check per upstream, however many connections to it were
// lost.
void request_handler::execute_action(const traffic::check_upstream& order)
{
    const routing::published_upstream* to =
        this->state.cluster.upstreams().find_alive(order.upstream);
    if (to == nullptr)
        return this->submit_event(
            traffic::upstream_checked{order.upstream, false});
    if (!this->checked.insert(order.upstream).second)
        return;
    const auto check = std::make_shared<relay::connect_check>(
        this->context, [this, upstream = order.upstream](bool accepts) {
            this->checked.erase(upstream);
            this->submit_event(traffic::upstream_checked{upstream, accepts});
        });
    check->start(to->address, check_after);
}

void request_handler::execute_action(const traffic::trust_changed& change)
{
    const routing::published_upstream* of =
        this->state.cluster.upstreams().find_alive(change.upstream);
    this->state.log.write(
        this->state.clock(),
        "scheduler",
        change.suspected ? "upstream_suspected" : "upstream_cleared",
        {{"upstream", of == nullptr ? std::string() : of->name},
         {"cause", change.cause},
         {"bad_share", change.bad_share}});
}

void request_handler::execute_action(const quarantine::standing_change& change)
{
    log_crash_suspect(this->state, change, "own");
}

void request_handler::finish(base::request_id id, const base::verdict* failed)
{
    const auto found = this->requests.find(id);
    const active_request& request = found->second;
    const base::instant now = this->state.clock();
    const base::duration total = now - request.arrived;
    const std::shared_ptr<exchange>& http_exchange = request.http_exchange;
    telemetry::request_ended ended;
    ended.series = request.series;
    if (failed != nullptr)
        ended.failed = *failed;
    const base::instant first = request.first_event_at.value_or(now);
    ended.in_time = request.in_time(first);
    ended.total = total;
    if (request.sent_at)
        ended.queue_wait = *request.sent_at - request.arrived;
    if (request.first_event_at)
        ended.first_token = first - request.arrived;
    this->state.metrics.add(ended);
    if (failed == nullptr)
        this->state.log.write(
            now,
            "front",
            "request_answered",
            {{"request", http_exchange->source().marks.attempt},
             {"status", http_exchange->status()},
             {"total_ms", to_milliseconds(total)},
             {"first_ms", to_milliseconds(first - request.arrived)},
             {"longest_gap_ms", to_milliseconds(request.longest_gap)},
             {"objective_ms", to_milliseconds(request.objective)},
             {"gap_objective_ms", to_milliseconds(request.gap_objective)},
             {"in_time", ended.in_time}});
    else
        this->state.log.write(
            now,
            "scheduler",
            "request_ended",
            {{"request", http_exchange->source().marks.attempt},
             {"verdict", base::to_string(failed->run)},
             {"why", base::to_string(failed->why)},
             {"total_ms", to_milliseconds(total)},
             {"waiting", this->state.scheduler.waiting()},
             {"retry_after_ms",
              to_milliseconds(
                  failed->retry_after.value_or(base::duration(0)))}});
    this->by_caller.erase(http_exchange->from().get());
    this->sent_to.erase(id);
    this->requests.erase(found);
}

void request_handler::reported(base::request_id id, const send_report& what)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const active_request& request = found->second;
    const base::instant now = this->state.clock();
    this->state.log.write(
        now,
        "exchange",
        what.why.empty() ? "send_answered" : "send_failed",
        {{"request", request.http_exchange->source().marks.attempt},
         {"digest", base::to_hex(request.digest)},
         {"send", what.send},
         {"upstream", request.upstream},
         {"ran_ms", to_milliseconds(now - request.last_sent_at)},
         {"status", what.status},
         {"events", what.events},
         {"why", what.why}});
}

} // namespace greengagedrum::entry
