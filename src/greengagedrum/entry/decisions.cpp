// How facts about requests reach the scheduler, and its orders the sockets.
#include <greengagedrum/entry/front.hpp>
#include <greengagedrum/entry/milliseconds.hpp>
#include <greengagedrum/entry/standing_log.hpp>
#include <greengagedrum/relay/connect_check.hpp>

#include <algorithm>

namespace greengagedrum::entry
{

namespace
{

// A process that ends may close its listening socket after its connections.
constexpr base::duration check_after = std::chrono::milliseconds(20);

} // namespace

// ---- Decisions ------------------------------------------------------------

// Carrying out a decision may tell the next fact at once; it is decided on
// after all orders of the first were carried out.
void front::told(const traffic::event& what)
{
    this->backlog.push_back(what);
    if (this->working)
        return;
    this->working = true;
    this->decide_backlog();
    this->working = false;
}

void front::decide_backlog()
{
    while (!this->backlog.empty()) {
        const traffic::event next = this->backlog.front();
        this->backlog.erase(this->backlog.begin());
        this->note_progress(next);
        this->note_misdirection(next);
        if (this->state.delegating)
            this->journal.record(next);
        traffic::actions orders;
        this->state.scheduler.step(next, this->state.clock(), orders);
        this->carry_out(orders);
    }
}

void front::note_progress(const traffic::event& what)
{
    const auto* progress = std::get_if<traffic::progressed>(&what);
    if (progress == nullptr)
        return;
    const auto found = this->requests.find(progress->request);
    if (found == this->requests.end())
        return;
    accepted& request = found->second;
    const base::instant now = this->state.clock();
    if (!request.first_event_at)
        request.first_event_at = now;
    else
        request.longest_gap =
            std::max(request.longest_gap, now - request.last_event_at);
    request.last_event_at = now;
}

bool front::accepted::in_time(base::instant first) const
{
    const bool steady = this->gap_objective.count() == 0 ||
                        this->longest_gap <= this->gap_objective;
    return steady && first - this->arrived <= this->objective;
}

void front::note_misdirection(const traffic::event& what)
{
    const auto* away = std::get_if<traffic::turned_away>(&what);
    if (away == nullptr || away->why != traffic::turn_away::misdirected)
        return;
    const auto found = this->sent_to.find(away->request);
    if (found != this->sent_to.end())
        this->misdirected(found->second);
}

void front::misdirected(base::upstream_id upstream)
{
    this->upstreams_changed(this->state.known.misdirected(upstream));
}

void front::upstreams_changed(const cluster_changes& changes)
{
    const base::instant now = this->state.clock();
    for (const departed_upstream& one : changes.left)
        this->state.scheduler.upstream_left(one.id);
    // The same news may have taken away what it brought.
    for (const routing::published_upstream& one : changes.joined) {
        if (this->state.known.upstreams().find(one.id) != nullptr)
            this->state.scheduler.upstream_joined(one, now);
    }
}

void front::carry_out(const traffic::actions& orders)
{
    for (const traffic::action& one : orders)
        std::visit([this](const auto& order) { this->carry_out_one(order); },
                   one);
    if (!orders.empty())
        this->uses_changed();
}

void front::carry_out_one(const traffic::send_request& order)
{
    if (dispatch::member_request_table::is_member_request(order.request))
        return this->grant(order);
    accepted& request = this->requests.at(order.request);
    const base::instant now = this->state.clock();
    const routing::published_upstream* to =
        this->state.known.upstreams().find(order.upstream);
    if (to == nullptr) {
        // It left within this very turn.
        return this->told(traffic::not_sent{order.request, order.send});
    }
    this->sent_to[order.request] = order.upstream;
    request.last_sent_at = now;
    request.upstream = to->name;
    if (!request.sent_at) {
        request.sent_at = now;
        if (request.counted)
            this->state.limiter.sent(request.workspace, request.cost, now);
    }
    const std::shared_ptr<exchange> wire = request.wire;
    this->state.log.write(now,
                          "scheduler",
                          "request_sent",
                          {{"request", wire->source().marks.attempt},
                           {"send", order.send},
                           {"upstream", to->name},
                           {"waited_ms", milliseconds(order.why.waited)},
                           {"own", order.why.own},
                           {"others", order.why.others},
                           {"places", order.why.places},
                           {"told_age_ms", milliseconds(order.why.told_age)},
                           {"expected_ms", milliseconds(order.why.first_event)},
                           {"gap_ms", milliseconds(order.why.gap)},
                           {"suits", order.why.suits},
                           {"store_revision", this->state.known.as_of()}});
    wire->send(order.send, *to, order.end_at - now);
}

void front::carry_out_one(const traffic::stop_send& order)
{
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    found->second.wire->stop_send();
    this->reported(order.request, {order.send, 0, 0, "stopped here"});
}

void front::carry_out_one(const traffic::deliver_answer& order)
{
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> wire = found->second.wire;
    this->finish(order.request, nullptr);
    wire->deliver(this->state.stopping);
}

void front::carry_out_one(const traffic::end_request& order)
{
    if (dispatch::member_request_table::is_member_request(order.request))
        return this->decline(order);
    const auto found = this->requests.find(order.request);
    if (found == this->requests.end())
        return;
    const std::shared_ptr<exchange> wire = found->second.wire;
    if (order.verdict.run == base::run_state::not_run)
        this->return_cost(found->second);
    this->finish(order.request, &order.verdict);
    wire->end(order.verdict);
}

// One connect for all whose connections to it were lost.
void front::carry_out_one(const traffic::check_upstream& order)
{
    const routing::published_upstream* to =
        this->state.known.upstreams().find_alive(order.upstream);
    if (to == nullptr)
        return this->told(traffic::upstream_checked{order.upstream, false});
    if (!this->checked.insert(order.upstream).second)
        return;
    const auto check = std::make_shared<relay::connect_check>(
        this->context, [this, upstream = order.upstream](bool accepts) {
            this->checked.erase(upstream);
            this->told(traffic::upstream_checked{upstream, accepts});
        });
    check->start(to->address, check_after);
}

void front::carry_out_one(const traffic::trust_changed& change)
{
    const routing::published_upstream* of =
        this->state.known.upstreams().find_alive(change.upstream);
    this->state.log.write(
        this->state.clock(),
        "scheduler",
        change.suspected ? "upstream_suspected" : "upstream_cleared",
        {{"upstream", of == nullptr ? std::string() : of->name},
         {"cause", change.cause},
         {"bad_share", change.bad_share}});
}

void front::carry_out_one(const quarantine::standing_change& change)
{
    log_standing(this->state, change, "own");
}

void front::finish(base::request_id id, const base::verdict* failed)
{
    const auto found = this->requests.find(id);
    const accepted& request = found->second;
    const base::instant now = this->state.clock();
    const base::duration total = now - request.arrived;
    const std::shared_ptr<exchange>& wire = request.wire;
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
            {{"request", wire->source().marks.attempt},
             {"status", wire->status()},
             {"total_ms", milliseconds(total)},
             {"first_ms", milliseconds(first - request.arrived)},
             {"longest_gap_ms", milliseconds(request.longest_gap)},
             {"objective_ms", milliseconds(request.objective)},
             {"gap_objective_ms", milliseconds(request.gap_objective)},
             {"in_time", ended.in_time}});
    else
        this->state.log.write(
            now,
            "scheduler",
            "request_ended",
            {{"request", wire->source().marks.attempt},
             {"verdict", base::to_string(failed->run)},
             {"why", base::to_string(failed->why)},
             {"total_ms", milliseconds(total)},
             {"waiting", this->state.scheduler.waiting()},
             {"retry_after_ms",
              milliseconds(failed->retry_after.value_or(base::duration(0)))}});
    this->by_caller.erase(wire->from().get());
    this->sent_to.erase(id);
    this->requests.erase(found);
}

void front::reported(base::request_id id, const send_report& what)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const accepted& request = found->second;
    const base::instant now = this->state.clock();
    this->state.log.write(now,
                          "exchange",
                          what.why.empty() ? "send_answered" : "send_failed",
                          {{"request", request.wire->source().marks.attempt},
                           {"digest", base::to_hex(request.digest)},
                           {"send", what.send},
                           {"upstream", request.upstream},
                           {"ran_ms", milliseconds(now - request.last_sent_at)},
                           {"status", what.status},
                           {"events", what.events},
                           {"why", what.why}});
}

} // namespace greengagedrum::entry
