#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::workspace_id busy_workspace("busy");
constexpr base::duration window = 8s;
constexpr double mean_cost = 1000;
constexpr double roles_settled = 1; // seconds after the start
// Tolerated excess due to lag: a share of the limit, and a number of tokens.
constexpr double overshoot = 0.25;
constexpr double slack_seconds = 0.6; // times the limit's rate

} // namespace

limited_fleet::limited_fleet(const fleet_plan& plan)
    : plan(plan), dice(plan.seed), processes(plan.entries),
      fleet(plan, this->hooks())
{
    this->fleet.start();
}

virtual_fleet::hooks limited_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) { this->configure(one); };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) { this->count_changes(one); };
    out.before_stop = [this](node& one) {
        if (one.state.stopping)
            this->result.unanswered +=
                static_cast<std::uint32_t>(this->state_of(one).requests.size());
    };
    return out;
}

fleet_plan random_fleet_plan(std::uint64_t seed)
{
    std::mt19937_64 dice(seed);
    const auto draw = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(dice);
    };
    fleet_plan out;
    out.seed = seed;
    out.entries = 34 + dice() % 50;
    out.data_centres = 1 + dice() % 6;
    out.demand = draw(0.3, 3);
    out.requests = 60;
    out.seconds = 28;
    if (draw(0, 1) < 0.4) {
        out.restart_gap =
            base::duration(static_cast<std::int64_t>(draw(0.5, 2.5) * 1e6));
        out.restarts_from = draw(3, 15);
    }
    while (out.killed_at.size() < 4 && draw(0, 1) < 0.5)
        out.killed_at.push_back(draw(9, 26));
    while (out.frozen_at.size() < 2 && draw(0, 1) < 0.3)
        out.frozen_at.push_back(draw(9, 26));
    std::sort(out.killed_at.begin(), out.killed_at.end());
    std::sort(out.frozen_at.begin(), out.frozen_at.end());
    out.frozen_for = draw(0.2, 8);
    if (draw(0, 1) < 0.4) {
        out.cut_from = draw(9, 20);
        out.cut_for = draw(0.3, 12);
    }
    return out;
}

double limited_fleet::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->dice);
}

double limited_fleet::limit() const
{
    return this->plan.requests * mean_cost / this->plan.demand;
}

void limited_fleet::configure(node& one)
{
    this->state_of(one) = process_state();
    const double limit = this->limit();
    one.state.limiter.set_tolerance({window, overshoot, slack_seconds * limit});
    routing::configuration config;
    routing::workspace known;
    known.id = busy_workspace;
    known.limit = {limit, limit, true, 0};
    config.workspaces.push_back(known);
    one.state.limiter.set_limits(config, this->fleet.time());
    this->occupy_upstreams(one);
}

// Makes load messages as large as they are in front of that many upstreams.
void limited_fleet::occupy_upstreams(node& one) const
{
    const base::upstream_class_id service("engines");
    for (std::size_t number = 0; number < this->plan.upstreams; ++number) {
        routing::published_upstream upstream;
        upstream.name = "engine-" + std::to_string(number);
        upstream.id = base::upstream_id(upstream.name);
        upstream.service = service;
        upstream.slots = 1;
        one.state.scheduler.upstream_joined(upstream, this->fleet.time());
        traffic::request_facts facts;
        facts.service = service;
        facts.latency_objective = facts.time_left = 1h;
        traffic::actions ignored;
        one.state.scheduler.step(
            traffic::request_arrived{base::request_id{number + 1}, facts},
            this->fleet.time(),
            ignored);
    }
}

peer_events limited_fleet::events_of(node& process)
{
    peer_events out;
    out.peer_load_changed = [] {};
    out.items_received = [](const gossip::item_transfer&) {};
    out.delegation_started = [this, &process] {
        process.state.delegating = true;
        const dispatch::request_changes changes =
            this->state_of(process).member_requests.remove_all_members();
        for (const dispatch::limit_charge& cost : changes.refunds)
            process.state.limiter.refund_unsent(
                cost.workspace, cost.amount, this->fleet.time());
    };
    out.delegation_ended = [this, &process](std::size_t unheard,
                                            const limit_handover* known) {
        this->dispatch_alone(process, unheard, known);
    };
    out.make_report = [this, &process] { return this->make_report(process); };
    out.reply_received = [this,
                          &process](const dispatch::dispatcher_reply& reply) {
        this->on_reply(process, reply);
    };
    out.report_received = [this, &process](base::slot_id member,
                                           const gossip::message& received) {
        this->on_report(process, member, received);
    };
    out.member_lost = [this, &process](base::slot_id member) {
        for (const dispatch::limit_charge& cost :
             this->state_of(process)
                 .member_requests.remove_member(member)
                 .refunds)
            process.state.limiter.refund_unsent(
                cost.workspace, cost.amount, this->fleet.time());
    };
    out.members_awaiting_reply = [this, &process] {
        return this->state_of(process).member_requests.members_to_answer(
            this->fleet.time());
    };
    out.make_reply = [this, &process](base::slot_id member) {
        return this->state_of(process).member_requests.build_reply(
            member, this->fleet.time());
    };
    return out;
}

void limited_fleet::admit(double cost)
{
    this->admitted.emplace_back(this->fleet.time(), cost);
    this->result.admitted_share += cost;
}

void limited_fleet::on_request(node& at, double cost)
{
    this->result.asked += 1;
    if (at.state.delegating) {
        this->state_of(at).requests[this->next_request++] = {
            this->fleet.time(), cost, false};
        at.protocol->schedule_gossip();
        return;
    }
    if (this->plan.upstreams > 0)
        at.protocol->schedule_gossip();
    if (at.state.limiter.try_acquire(
            busy_workspace, cost, 0, this->fleet.time())) {
        this->result.refused += 1;
        return;
    }
    at.state.limiter.on_sent(busy_workspace, cost, this->fleet.time());
    this->admit(cost);
}

void limited_fleet::dispatch_alone(node& one,
                                   std::size_t unheard,
                                   const limit_handover* known)
{
    if (known != nullptr)
        one.state.limiter.take_over(known->sender,
                                    known->incarnation,
                                    known->usage,
                                    this->fleet.time());
    else
        one.state.limiter.restart(this->fleet.time());
    one.state.limiter.set_never_heard_peer_count(unheard);
    one.state.limiter.update_silent_peers(this->fleet.time());
    one.state.delegating = false;
    for (const auto& [id, request] : this->state_of(one).requests) {
        if (one.state.limiter.try_acquire(
                busy_workspace, request.cost, 0, this->fleet.time())) {
            this->result.refused += 1;
            continue;
        }
        one.state.limiter.on_sent(
            busy_workspace, request.cost, this->fleet.time());
        this->admit(request.cost);
    }
    this->state_of(one).requests.clear();
}

dispatch::member_report limited_fleet::make_report(const node& member)
{
    dispatch::member_report out;
    for (const auto& [id, request] : this->state_of(member).requests) {
        dispatch::slot_request wanted;
        wanted.id = {base::request_id{id}, 1};
        wanted.facts.workspace = busy_workspace;
        wanted.facts.time_left = 10s;
        wanted.facts.first_event_timeout = 2s;
        wanted.cost = request.cost;
        out.slot_requests.push_back(wanted);
    }
    return out;
}

void limited_fleet::on_report(node& dispatcher,
                              base::slot_id member,
                              const gossip::message& received)
{
    quota::usage_limiter& limiter = dispatcher.state.limiter;
    dispatch::member_request_table& member_requests =
        this->state_of(dispatcher).member_requests;
    const dispatch::request_changes changes = member_requests.on_report(
        member, received.incarnation, received.report, received.upstream_loads);
    for (const dispatch::limit_charge& cost : changes.refunds)
        limiter.refund_unsent(cost.workspace, cost.amount, this->fleet.time());
    for (const auto& [id, wanted] : changes.new_requests) {
        const auto retry_after = limiter.try_acquire(
            busy_workspace, wanted.cost, 0, this->fleet.time());
        if (retry_after) {
            member_requests.on_denied(
                id, base::not_run(base::reason::limit_reached, *retry_after));
            continue;
        }
        traffic::send_request order;
        order.request = id;
        order.send = 1;
        order.upstream = base::upstream_id("any");
        member_requests.on_granted(order);
        limiter.on_sent(busy_workspace, wanted.cost, this->fleet.time());
    }
}

void limited_fleet::on_reply(node& member,
                             const dispatch::dispatcher_reply& reply)
{
    for (const dispatch::slot_grant& one : reply.grants) {
        const auto found =
            this->state_of(member).requests.find(one.id.request.value);
        if (found == this->state_of(member).requests.end())
            continue;
        this->admit(found->second.cost);
        this->state_of(member).requests.erase(found);
    }
    for (const dispatch::slot_denial& one : reply.denials) {
        if (this->state_of(member).requests.erase(one.id.request.value) > 0)
            this->result.refused += 1;
    }
}

void limited_fleet::generate_requests()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests * step_seconds;
    while (due > 0) {
        if (due < 1 && this->draw() >= due)
            return;
        due -= 1;
        node* to = this->fleet.serving(this->dice() % this->fleet.size());
        if (to != nullptr)
            this->on_request(*to, mean_cost * 2 * this->draw());
    }
}

void limited_fleet::count_changes(const node& one)
{
    process_state& own = this->state_of(one);
    if (own.was_delegating == one.state.delegating)
        return;
    own.was_delegating = one.state.delegating;
    const bool counts = !one.state.delegating && this->fleet.seconds() > 2;
    this->result.dispatcher_changes += counts ? 1 : 0;
}

void limited_fleet::check_window()
{
    double held = 0;
    for (const auto& [at, cost] : this->admitted)
        held += cost;
    const double bound = this->limit() * (9 * (1 + overshoot) + slack_seconds);
    if (held / bound > this->result.peak_window_share) {
        this->result.peak_window_share = held / bound;
        this->result.peak_at = this->fleet.seconds();
    }
}

fleet_result limited_fleet::run()
{
    std::uint64_t steps = 0;
    constexpr std::uint64_t steps_per_check = 20;
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        if (this->fleet.seconds() >= roles_settled)
            this->generate_requests();
        while (!this->admitted.empty() &&
               this->fleet.time() - this->admitted.front().first > window)
            this->admitted.pop_front();
        if (++steps % steps_per_check == 0)
            this->check_window();
    }
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const node* one = this->fleet.at(number);
        if (one == nullptr)
            continue;
        this->result.counted_gossip_bytes +=
            one->state.metrics.of(telemetry::counter::region_gossip_bytes);
        this->result.reserved_for_absent = std::max(
            this->result.reserved_for_absent,
            one->state.limiter.status_of(busy_workspace, this->fleet.time())
                .silent_share);
        for (const auto& [id, request] : this->processes[number].requests) {
            const bool late = this->fleet.time() - request.arrived > 1s;
            this->result.unanswered += late ? 1 : 0;
        }
    }
    this->result.admitted_share /=
        this->limit() * (this->plan.seconds - roles_settled);
    this->result.bytes_across_regions = this->fleet.bytes_between_regions();
    this->result.busiest_bytes = static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
