#include <greengagedrum/dispatch/test/dispatch_run.hpp>

#include <algorithm>
#include <numeric>
#include <string>

namespace greengagedrum::dispatch
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_class_id desk_service("desk");
constexpr base::duration step = 5ms;
constexpr base::duration report_gap = 2ms;
constexpr base::duration beat = 100ms;

std::unique_ptr<traffic::scheduler>
make_scheduler(const run_settings& given, std::uint64_t salt, base::instant now)
{
    auto out = std::make_unique<traffic::scheduler>(
        traffic::retry_budget_settings{0.2, 50, 10s},
        traffic::entry_identity{"hall", salt});
    for (std::size_t one = 0; one < given.upstreams; ++one) {
        routing::published_upstream entry;
        entry.name = "u-" + std::to_string(one);
        entry.id = base::upstream_id(entry.name);
        entry.service = desk_service;
        entry.slots = given.slots;
        entry.data_centre = "hall";
        out->upstream_joined(entry, now);
    }
    return out;
}

base::slot_id slot_of(std::size_t member)
{
    return base::slot_id("m-" + std::to_string(member));
}

} // namespace

dispatch_run::dispatch_run(const run_settings& given)
    : given(given), dice(given.seed), members(given.members)
{
    for (std::size_t one = 0; one < given.members; ++one)
        this->numbers[slot_of(one)] = one;
    std::uint64_t salt = 1;
    for (member& one : this->members) {
        one.decisions = make_scheduler(given, salt++, this->now);
        one.decisions->set_delegating(true);
    }
    this->begin_dispatcher();
}

void dispatch_run::begin_dispatcher()
{
    this->term += 1;
    this->dispatcher =
        make_scheduler(this->given, 1000 + this->term, this->now);
    this->book = std::make_unique<member_request_table>();
}

void dispatch_run::at(base::instant when, std::function<void()> what)
{
    this->events.emplace(when, std::move(what));
}

bool dispatch_run::is_lost()
{
    return std::uniform_real_distribution<double>(0, 1)(this->dice) <
           this->given.lost;
}

double dispatch_run::arrivals_per_second() const
{
    const double seconds =
        std::chrono::duration<double>(this->given.work).count();
    const double all =
        static_cast<double>(this->given.upstreams * this->given.slots) /
        seconds;
    const bool burst = this->now - this->began < this->given.burst;
    return all * (burst ? this->given.load : this->given.after);
}

run_result dispatch_run::play()
{
    this->arrive_next();
    this->tick();
    if (this->given.dispatcher_dies) {
        this->at(this->began + 2s, [this] {
            this->dispatcher.reset();
            this->book.reset();
        });
        this->at(this->began + 2500ms, [this] { this->begin_dispatcher(); });
    }
    const base::instant end = this->began + this->given.length;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        const auto next = this->events.begin();
        this->now = next->first;
        const std::function<void()> what = std::move(next->second);
        this->events.erase(next);
        what();
    }
    this->out.busy = this->busy_sum / std::max(1.0, this->busy_samples);
    for (const member& one : this->members)
        this->out.messages = std::max(
            this->out.messages,
            one.messages / static_cast<std::uint32_t>(this->given.length / 1s));
    return this->out;
}

void dispatch_run::arrive_next()
{
    std::exponential_distribution<double> gap(this->arrivals_per_second());
    const auto wait = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(gap(this->dice)));
    this->at(this->now + wait, [this] { this->arrive(); });
}

void dispatch_run::arrive()
{
    const std::size_t at = std::uniform_int_distribution<std::size_t>(
        0, this->members.size() - 1)(this->dice);
    traffic::request_facts facts;
    facts.service = desk_service;
    facts.kind = base::kind_id("ping");
    facts.latency_objective = 300ms;
    facts.time_left = std::max<base::duration>(3s, 5 * this->given.work);
    this->out.asked += 1;
    this->arrived_at[this->next_request] = this->now;
    this->member_step(at,
                      traffic::request_arrived{
                          base::request_id{this->next_request++}, facts});
    this->report(at);
    this->arrive_next();
}

// ---- Members --------------------------------------------------------------

void dispatch_run::member_step(std::size_t number, const traffic::event& what)
{
    member& one = this->members.at(number);
    one.journal.record(what);
    traffic::actions orders;
    one.decisions->step(what, this->now, orders);
    this->member_orders(number, orders);
}

void dispatch_run::member_orders(std::size_t number,
                                 const traffic::actions& orders)
{
    for (const traffic::action& order : orders) {
        if (const auto* send = std::get_if<traffic::send_request>(&order))
            this->send(number, *send);
        if (const auto* stop = std::get_if<traffic::cancel_send>(&order))
            this->end_work(stop->request);
        if (std::holds_alternative<traffic::deliver_answer>(order))
            this->out.answered += 1;
        if (const auto* end = std::get_if<traffic::end_request>(&order))
            this->note_refusal(end->request);
    }
    if (!orders.empty())
        this->report(number);
}

void dispatch_run::note_refusal(base::request_id request)
{
    this->out.refused += 1;
    const base::duration after =
        this->arrived_at.at(request.value) - this->began - this->given.burst;
    this->out.last_refused = std::max(this->out.last_refused, after);
}

void dispatch_run::send(std::size_t from, const traffic::send_request& order)
{
    if (++this->sends[order.request.value] > 1)
        this->out.sent_twice += 1;
    std::uint32_t& load = this->running[order.upstream];
    load += 1;
    this->out.most_on_one = std::max(this->out.most_on_one, load);
    const base::duration queued =
        load > this->given.slots ? this->given.work : base::duration(0);
    const base::duration takes =
        this->given.work + queued + 2 * this->given.way;
    this->works[order.request.value] = order.upstream;
    this->at(this->now + takes,
             [this, from, request = order.request, send = order.send] {
                 if (this->end_work(request))
                     this->member_step(
                         from, traffic::answer_received{request, send, true});
             });
}

// False when it was broken off before.
bool dispatch_run::end_work(base::request_id request)
{
    const auto found = this->works.find(request.value);
    if (found == this->works.end())
        return false;
    this->running[found->second] -= 1;
    this->works.erase(found);
    return true;
}

void dispatch_run::report(std::size_t from)
{
    member& one = this->members.at(from);
    if (one.changed)
        return;
    one.changed = true;
    const base::instant due = std::max(this->now, one.told_at + report_gap);
    this->at(due, [this, from] {
        member& own = this->members.at(from);
        own.changed = false;
        own.told_at = this->now;
        own.messages += 1;
        member_report told;
        told.sequence = ++own.reports;
        own.unanswered = told.sequence;
        for (traffic::queued_send& wait :
             own.decisions->queued_sends(this->now))
            told.slot_requests.push_back({{wait.request, wait.send},
                                          wait.facts,
                                          std::move(wait.tried),
                                          0,
                                          true});
        for (const traffic::active_send& run : own.decisions->active_sends())
            told.running.push_back({{run.request, run.send},
                                    run.upstream,
                                    run.pending_prefill_tokens});
        told.status_updates = own.journal.unacknowledged();
        if (this->is_lost())
            return;
        this->at(this->now + this->given.way,
                 [this, from, told, to = this->term] {
                     this->take_report(from, told, to);
                 });
    });
}

void dispatch_run::replied(std::size_t to, const dispatcher_reply& what)
{
    member& one_member = this->members.at(to);
    one_member.journal.acknowledge(what.acked_status);
    if (one_member.unanswered <= what.acked_report)
        one_member.unanswered = 0;
    for (const slot_grant& one : what.grants) {
        traffic::slot_granted event;
        event.request = one.id.request;
        event.send = one.id.send;
        event.upstream = one.upstream;
        this->member_step(to, event);
    }
    for (const slot_denial& one : what.denials)
        this->member_step(
            to,
            traffic::slot_denied{one.id.request,
                                 one.id.send,
                                 base::not_run(one.reason, one.retry_after)});
}

// ---- Their dispatcher -----------------------------------------------------

void dispatch_run::take_report(std::size_t from,
                               const member_report& told,
                               std::uint64_t to)
{
    if (!this->dispatcher || to != this->term)
        return;
    const request_changes news =
        this->book->on_report(slot_of(from), base::incarnation{1}, told, {});
    this->dispatcher->on_peer_report(
        slot_of(from), news.uses_placed_elsewhere, {}, this->now);
    for (const traffic::event& one : news.events)
        this->dispatcher_step(one);
    for (const auto& [id, wanted] : news.new_requests)
        this->dispatcher_step(
            traffic::request_arrived{id, wanted.facts, wanted.tried_upstreams});
    this->answer_members();
}

void dispatch_run::dispatcher_step(const traffic::event& what)
{
    traffic::actions orders;
    this->dispatcher->step(what, this->now, orders);
    this->dispatcher_orders(orders);
}

void dispatch_run::dispatcher_orders(const traffic::actions& orders)
{
    for (const traffic::action& order : orders) {
        if (const auto* send = std::get_if<traffic::send_request>(&order))
            this->book->on_granted(*send);
        if (const auto* end = std::get_if<traffic::end_request>(&order))
            this->book->on_declined(end->request, end->verdict);
    }
}

void dispatch_run::answer_members()
{
    for (const base::slot_id slot : this->book->members_to_answer(this->now)) {
        const std::size_t one = this->numbers.at(slot);
        const dispatcher_reply reply = this->book->build_reply(slot, this->now);
        if (!this->is_lost())
            this->at(this->now + this->given.way,
                     [this, one, reply] { this->replied(one, reply); });
    }
}

void dispatch_run::tick()
{
    for (std::size_t one = 0; one < this->members.size(); ++one) {
        const member& own = this->members.at(one);
        traffic::actions orders;
        if (own.decisions->in_flight() > 0)
            own.decisions->tick(this->now, orders);
        this->member_orders(one, orders);
        const base::duration silent = this->now - own.told_at;
        if (silent >= (own.unanswered > 0 ? resend_interval : beat))
            this->report(one);
    }
    if (this->dispatcher) {
        traffic::actions orders;
        this->dispatcher->tick(this->now, orders);
        this->dispatcher_orders(orders);
        this->answer_members();
    }
    const base::duration passed = this->now - this->began;
    if (passed > 1s && passed < this->given.burst) {
        double taken = 0;
        for (const auto& [upstream, load] : this->running)
            taken += std::min(load, this->given.slots);
        this->busy_sum += taken / static_cast<double>(this->given.upstreams *
                                                      this->given.slots);
        this->busy_samples += 1;
    }
    this->at(this->now + step, [this] { this->tick(); });
}

} // namespace greengagedrum::dispatch
