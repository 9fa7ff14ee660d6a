// Requests that are placed for other entries, and own ones that another entry
// places.
#include <greengagedrum/entry/front.hpp>
#include <greengagedrum/entry/milliseconds.hpp>

namespace greengagedrum::entry
{

// ---- Own requests, placed by another entry --------------------------------

dispatch::member_report front::report_to_dispatcher() const
{
    const base::instant now = this->state.clock();
    dispatch::member_report out;
    for (traffic::waiting_send& one :
         this->state.scheduler.waiting_sends(now)) {
        const auto found = this->requests.find(one.request);
        if (found == this->requests.end())
            continue;
        const accepted& request = found->second;
        // A request that was sent before is counted somewhere already.
        const bool counted = request.counted || request.sent_at;
        out.slot_requests.push_back({{one.request, one.send},
                                     one.facts,
                                     std::move(one.tried),
                                     request.cost,
                                     counted});
    }
    for (const traffic::sent_request& one :
         this->state.scheduler.sent_requests()) {
        if (dispatch::member_request_table::is_member_request(one.request))
            continue;
        out.running.push_back(
            {{one.request, one.send}, one.upstream, one.unread_tokens});
    }
    out.status_updates = this->journal.unacknowledged();
    return out;
}

void front::replied(const dispatch::dispatcher_reply& what)
{
    this->journal.acknowledge(what.acked_status);
    for (const dispatch::slot_grant& one : what.grants)
        this->told(traffic::place_granted{one.id.request,
                                          one.id.send,
                                          one.upstream,
                                          one.expected_first_event,
                                          one.slots_taken,
                                          one.slots});
    for (const dispatch::slot_denial& one : what.denials)
        this->told(traffic::place_declined{
            one.id.request,
            one.id.send,
            base::not_run(one.reason, one.retry_after)});
}

void front::delegate()
{
    this->state.delegating = true;
    this->state.scheduler.delegate(true);
    this->take(this->members.remove_all_members());
}

// Whoever counted for this entry may be gone, and what it told last of limits
// is all that is left of what it knew.
//
// Failure guarded against: a dispatcher dies, and each of its members has the
// whole of every limit until it has counted the others: of three requests of
// 200 tokens that waited, all three went out on a part of 285.
void front::place_alone(std::size_t unheard, const handed_limits* known)
{
    const base::instant now = this->state.clock();
    if (known != nullptr)
        this->state.limiter.take_over(
            known->from, known->life, known->uses, now);
    else
        this->state.limiter.restart(now);
    this->state.limiter.set_unheard_peers(unheard);
    this->state.limiter.assume_silent_peers(now);
    this->state.delegating = false;
    this->state.scheduler.delegate(false);
    this->count_waiting();
}

// ---- Members' requests ----------------------------------------------------

void front::member_reported(base::slot_id member,
                            base::incarnation life,
                            const dispatch::member_report& told,
                            std::span<const traffic::upstream_use> uses)
{
    const dispatch::request_changes news =
        this->members.on_report(member, life, told, uses);
    this->state.scheduler.peer_told(
        member, news.uses_placed_elsewhere, {}, this->state.clock());
    this->take(news);
}

void front::member_lost(base::slot_id member)
{
    this->take(this->members.remove_member(member));
}

void front::take(const dispatch::request_changes& news)
{
    const base::instant now = this->state.clock();
    for (const dispatch::limit_charge& cost : news.released_charges)
        this->state.limiter.withdrawn(cost.workspace, cost.amount, now);
    for (const traffic::event& one : news.events)
        this->told(one);
    for (const auto& [id, wanted] : news.new_requests)
        this->arrived_at_member(id, wanted);
}

void front::arrived_at_member(base::request_id id,
                              const dispatch::slot_request& wanted)
{
    const auto over = wanted.charged
                          ? std::nullopt
                          : this->state.limiter.take(wanted.facts.workspace,
                                                     wanted.cost,
                                                     wanted.facts.priority,
                                                     this->state.clock());
    if (over) {
        this->note_over_limit(
            wanted.facts.workspace, wanted.cost, wanted.facts.priority, *over);
        // The limit has nothing of it to give back.
        this->members.on_declined(
            id, base::not_run(base::reason::limit_reached, over));
        return;
    }
    traffic::request_facts facts = wanted.facts;
    facts.homes = this->homes_of(facts);
    this->told(traffic::request_arrived{id, facts, wanted.tried_upstreams});
}

// As the configuration in force here says: members ask by route and workspace.
routing::homes front::homes_of(const traffic::request_facts& facts) const
{
    const routing::route_table_ptr& table = this->state.known.routes();
    const routing::route* route =
        table ? table->find_route(facts.kind) : nullptr;
    if (route == nullptr)
        return {};
    return routing::homes_of(
        *route, table->find_workspace(facts.workspace), this->state.regions);
}

void front::grant(const traffic::send_request& order)
{
    const base::instant now = this->state.clock();
    if (this->state.known.upstreams().find(order.upstream) == nullptr) {
        // It left within this very turn.
        if (const auto cost = this->members.forget_send(order.request))
            this->state.limiter.withdrawn(cost->workspace, cost->amount, now);
        return this->told(traffic::caller_left{order.request});
    }
    if (const auto cost = this->members.on_granted(order))
        this->state.limiter.sent(cost->workspace, cost->amount, now);
}

void front::decline(const traffic::end_request& order)
{
    const auto cost = this->members.on_declined(order.request, order.verdict);
    if (cost)
        this->state.limiter.withdrawn(
            cost->workspace, cost->amount, this->state.clock());
}

} // namespace greengagedrum::entry
