// Executes the actions of the schedulers of a simulated cluster and checks
// them.
#include <greengagedrum/delivery/test/simulated_cluster.hpp>

namespace greengagedrum::delivery
{

void simulated_cluster::step(simulated_entry& entry, const event& input)
{
    std::vector<action> actions;
    entry.core->step(input, this->now, actions);
    for (const action& one : actions)
        std::visit([&](const auto& order) { this->execute(entry, order); },
                   one);
}

base::answer_ptr
simulated_cluster::make_answer(base::dispatch_id dispatch) const
{
    const std::string text = std::to_string(dispatch.life.value) + "-" +
                             std::to_string(dispatch.sequence);
    return std::make_shared<const base::answer>(
        base::answer{"application/json", text, 20, true});
}

void simulated_cluster::execute(simulated_entry& entry,
                                const start_dispatch& order)
{
    const auto delay =
        base::duration(static_cast<std::int64_t>(this->random_below(600'000)));
    if (this->chance(this->fault_probability)) {
        this->refused_dispatches.insert(order.dispatch);
        return this->schedule(
            delay / 8,
            {&entry,
             nullptr,
             event(connect_refused{order.dispatch, order.connection})});
    }
    subject_record& subject =
        this->subjects[entry.requests.at(order.request).subject];
    subject.dispatch_count += 1;
    subject.last_dispatch = order.dispatch;
    this->dispatches += 1;
    CHECK_MESSAGE(subject.dispatch_count == 1, this->failure_context());
    if (this->chance(this->fault_probability))
        return; // the stream stays silent
    if (this->chance(this->fault_probability))
        return this->schedule(
            delay / 2,
            {&entry,
             nullptr,
             event(stream_broken{order.dispatch,
                                 order.connection,
                                 break_cause::connection_lost})});
    this->schedule(
        delay,
        {&entry,
         nullptr,
         event(stream_finished{
             order.dispatch, this->make_answer(order.dispatch), 0})});
}

void simulated_cluster::execute(simulated_entry& entry,
                                const start_resume& order)
{
    const bool stream_known =
        !this->refused_dispatches.contains(order.dispatch) &&
        !this->chance(this->fault_probability);
    const event end =
        stream_known
            ? event(stream_finished{
                  order.dispatch, this->make_answer(order.dispatch), 0})
            : event(stream_broken{order.dispatch,
                                  order.connection,
                                  break_cause::unknown_stream});
    this->schedule(50ms, {&entry, nullptr, end});
}

void simulated_cluster::execute(simulated_entry& entry,
                                const stop_stream& order)
{
    static_cast<void>(entry);
    CHECK_MESSAGE(!order.cancel,
                  this->failure_context()); // every request is at most once
}

subject_record& simulated_cluster::end_request(simulated_entry& entry,
                                               base::request_id id)
{
    auto& request = entry.requests.at(id);
    CHECK_MESSAGE(!request.ended, this->failure_context());
    request.ended = true;
    return this->subjects[request.subject];
}

void simulated_cluster::execute(simulated_entry& entry,
                                const end_answered& order)
{
    subject_record& subject = this->end_request(entry, order.request);
    subject.answered += 1;
    CHECK_MESSAGE(subject.dispatch_count == 1, this->failure_context());
    REQUIRE(order.answer);
    const auto expected = this->make_answer(subject.last_dispatch);
    CHECK_MESSAGE(order.answer->body == expected->body,
                  this->failure_context());
    if (subject.last_dispatch.life != entry.incarnation || subject.answered > 1)
        subject.replayed += 1;
}

void simulated_cluster::execute(simulated_entry& entry, const end_failed& order)
{
    subject_record& subject = this->end_request(entry, order.request);
    if (order.verdict.run == base::run_state::may_have_run) {
        subject.may_have_run += 1;
        return;
    }
    subject.not_run += 1;
    CHECK_MESSAGE(subject.dispatch_count == 0,
                  this->failure_context(),
                  ", ",
                  base::to_string(order.verdict.why));
}

void simulated_cluster::execute(simulated_entry& entry,
                                const assign_ticket& order)
{
    static_cast<void>(entry);
    this->assigned_ticket = order.ticket;
}

void simulated_cluster::execute(simulated_entry& entry,
                                const send_claim_message& order)
{
    // After a replacement two processes may run in the slot; the link leads to
    // one of them.
    std::vector<simulated_entry*> receivers;
    for (simulated_entry* to : this->live_entries())
        if (to->slot == order.to && to != &entry)
            receivers.push_back(to);
    if (receivers.empty())
        return;
    this->send_message(
        entry,
        *receivers[this->random_below(receivers.size())],
        {nullptr,
         nullptr,
         event(claim_message{entry.slot, entry.incarnation, order.body})});
}

// Load exchange between peers is not simulated.
void simulated_cluster::execute(simulated_entry& entry,
                                const send_load_digest& order)
{
    static_cast<void>(entry);
    static_cast<void>(order);
}

} // namespace greengagedrum::delivery
