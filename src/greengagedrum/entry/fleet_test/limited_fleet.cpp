#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::workspace_id busy("busy");
constexpr base::duration window = 8s;
constexpr double mean_cost = 1000;
constexpr double roles_found = 1; // seconds from the start of all entries
// Of the limit, and in tokens, that lag may exceed it by.
constexpr double overshoot = 0.25;
constexpr double slack_seconds = 0.6; // of the limit's rate

} // namespace

limited_fleet::limited_fleet(const fleet_plan& plan)
    : plan(plan), dice(plan.seed), works(plan.entries),
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
                static_cast<std::uint32_t>(this->of(one).requests.size());
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
    this->of(one) = work();
    const double limit = this->limit();
    one.state.limiter.set_tolerance({window, overshoot, slack_seconds * limit});
    routing::configuration config;
    routing::workspace known;
    known.id = busy;
    known.limit = {limit, limit, true, 0};
    config.workspaces.push_back(known);
    one.state.limiter.set_limits(config, this->fleet.time());
}

peer_events limited_fleet::events_of(node& of)
{
    peer_events out;
    out.peer_load_changed = [] {};
    out.items_received = [](const gossip::item_transfer&) {};
    out.delegation_started = [this, &of] {
        of.state.delegating = true;
        const dispatch::request_changes news =
            this->of(of).book.remove_all_members();
        for (const dispatch::limit_charge& cost : news.refunds)
            of.state.limiter.refund_unsent(
                cost.workspace, cost.amount, this->fleet.time());
    };
    out.delegation_ended = [this, &of](std::size_t unheard,
                                       const limit_handover* known) {
        this->place_alone(of, unheard, known);
    };
    out.make_report = [this, &of] { return this->report_of(of); };
    out.reply_received = [this, &of](const dispatch::dispatcher_reply& what) {
        this->replied(of, what);
    };
    out.report_received = [this, &of](base::slot_id member,
                                      const gossip::message& told) {
        this->reported(of, member, told);
    };
    out.member_lost = [this, &of](base::slot_id member) {
        for (const dispatch::limit_charge& cost :
             this->of(of).book.remove_member(member).refunds)
            of.state.limiter.refund_unsent(
                cost.workspace, cost.amount, this->fleet.time());
    };
    out.members_awaiting_reply = [this, &of] {
        return this->of(of).book.members_to_answer(this->fleet.time());
    };
    out.make_reply = [this, &of](base::slot_id member) {
        return this->of(of).book.build_reply(member, this->fleet.time());
    };
    return out;
}

// ---- Requests ---------------------------------------------------------------

void limited_fleet::let_through(double cost)
{
    this->let.emplace_back(this->fleet.time(), cost);
    this->result.let += cost;
}

void limited_fleet::arrive(node& at, double cost)
{
    this->result.asked += 1;
    if (at.state.delegating) {
        this->of(at).requests[this->next_request++] = {
            this->fleet.time(), cost, false};
        at.protocol->schedule_gossip();
        return;
    }
    if (at.state.limiter.try_acquire(busy, cost, 0, this->fleet.time())) {
        this->result.refused += 1;
        return;
    }
    at.state.limiter.on_sent(busy, cost, this->fleet.time());
    this->let_through(cost);
}

void limited_fleet::place_alone(node& one,
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
    for (const auto& [id, request] : this->of(one).requests) {
        if (one.state.limiter.try_acquire(
                busy, request.cost, 0, this->fleet.time())) {
            this->result.refused += 1;
            continue;
        }
        one.state.limiter.on_sent(busy, request.cost, this->fleet.time());
        this->let_through(request.cost);
    }
    this->of(one).requests.clear();
}

dispatch::member_report limited_fleet::report_of(const node& member)
{
    dispatch::member_report out;
    for (const auto& [id, request] : this->of(member).requests) {
        dispatch::slot_request wanted;
        wanted.id = {base::request_id{id}, 1};
        wanted.facts.workspace = busy;
        wanted.facts.time_left = 10s;
        wanted.facts.first_event_timeout = 2s;
        wanted.cost = request.cost;
        out.slot_requests.push_back(wanted);
    }
    return out;
}

void limited_fleet::reported(node& dispatcher,
                             base::slot_id member,
                             const gossip::message& told)
{
    quota::usage_limiter& limiter = dispatcher.state.limiter;
    dispatch::member_request_table& book = this->of(dispatcher).book;
    const dispatch::request_changes news = book.on_report(
        member, told.incarnation, told.report, told.upstream_loads);
    for (const dispatch::limit_charge& cost : news.refunds)
        limiter.refund_unsent(cost.workspace, cost.amount, this->fleet.time());
    for (const auto& [id, wanted] : news.new_requests) {
        const auto over =
            limiter.try_acquire(busy, wanted.cost, 0, this->fleet.time());
        if (over) {
            book.on_denied(id,
                             base::not_run(base::reason::limit_reached, *over));
            continue;
        }
        traffic::send_request order;
        order.request = id;
        order.send = 1;
        order.upstream = base::upstream_id("any");
        book.on_granted(order);
        limiter.on_sent(busy, wanted.cost, this->fleet.time());
    }
}

void limited_fleet::replied(node& member,
                            const dispatch::dispatcher_reply& what)
{
    for (const dispatch::slot_grant& one : what.grants) {
        const auto found = this->of(member).requests.find(one.id.request.value);
        if (found == this->of(member).requests.end())
            continue;
        this->let_through(found->second.cost);
        this->of(member).requests.erase(found);
    }
    for (const dispatch::slot_denial& one : what.denials) {
        if (this->of(member).requests.erase(one.id.request.value) > 0)
            this->result.refused += 1;
    }
}

void limited_fleet::ask()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests * step_seconds;
    while (due > 0) {
        if (due < 1 && this->draw() >= due)
            return;
        due -= 1;
        node* to = this->fleet.serving(this->dice() % this->fleet.size());
        if (to != nullptr)
            this->arrive(*to, mean_cost * 2 * this->draw());
    }
}

// ---- The run ----------------------------------------------------------------

void limited_fleet::count_changes(const node& one)
{
    work& own = this->of(one);
    if (own.was_delegating == one.state.delegating)
        return;
    own.was_delegating = one.state.delegating;
    const bool counts = !one.state.delegating && this->fleet.seconds() > 2;
    this->result.dispatcher_changes += counts ? 1 : 0;
}

void limited_fleet::judge()
{
    double held = 0;
    for (const auto& [at, cost] : this->let)
        held += cost;
    const double bound = this->limit() * (9 * (1 + overshoot) + slack_seconds);
    if (held / bound > this->result.worst_share) {
        this->result.worst_share = held / bound;
        this->result.worst_at = this->fleet.seconds();
    }
}

fleet_result limited_fleet::play()
{
    std::uint64_t steps = 0;
    constexpr std::uint64_t judged_every = 20;
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        if (this->fleet.seconds() >= roles_found)
            this->ask();
        while (!this->let.empty() &&
               this->fleet.time() - this->let.front().first > window)
            this->let.pop_front();
        if (++steps % judged_every == 0)
            this->judge();
    }
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const node* one = this->fleet.at(number);
        if (one == nullptr)
            continue;
        this->result.kept_for_absent =
            std::max(this->result.kept_for_absent,
                     one->state.limiter.status_of(busy, this->fleet.time())
                         .silent_share);
        for (const auto& [id, request] : this->works[number].requests) {
            const bool late = this->fleet.time() - request.arrived > 1s;
            this->result.unanswered += late ? 1 : 0;
        }
    }
    this->result.let /= this->limit() * (this->plan.seconds - roles_found);
    this->result.busiest_bytes = static_cast<std::uint64_t>(
        static_cast<double>(this->fleet.busiest_bytes()) / this->plan.seconds);
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
