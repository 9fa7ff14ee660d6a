#include <greengagedrum/dispatch/member_request_table.hpp>

#include <algorithm>

namespace greengagedrum::dispatch
{

namespace
{

// Marks ids of members' requests. The entry's own requests are numbered from
// one, and no process accepts 2^63 of them.
constexpr std::uint64_t member_request_bit = 1ULL << 63U;

// The dispatcher's scheduler sends each of these requests once: a repetition by
// the member is a new send.
constexpr std::uint32_t only_send_number = 1;

traffic::event to_event(base::request_id id, send_status status)
{
    switch (status) {
    case send_status::first_event:
        return traffic::events_received{id, only_send_number, 1};
    case send_status::completed:
        return traffic::answer_received{id, only_send_number, true};
    case send_status::error_answer:
        return traffic::answer_received{id, only_send_number, false};
    case send_status::not_sent:
        return traffic::connect_failed{id, only_send_number};
    case send_status::rejected_full:
        return traffic::send_rejected{
            id, only_send_number, traffic::rejection::not_run};
    case send_status::misdirected:
        return traffic::send_rejected{
            id, only_send_number, traffic::rejection::misdirected};
    case send_status::reused_connection_lost:
        return traffic::answer_interrupted{
            id,
            only_send_number,
            traffic::interruption_cause::reused_connection_lost};
    case send_status::write_stalled:
        return traffic::answer_interrupted{
            id, only_send_number, traffic::interruption_cause::write_stalled};
    case send_status::connection_broken:
        break;
    }
    return traffic::answer_interrupted{id, only_send_number};
}

} // namespace

bool member_request_table::is_member_request(base::request_id id)
{
    return (id.value & member_request_bit) != 0;
}

base::slot_id member_request_table::member_of(base::request_id id) const
{
    const auto found = this->sends.find(id.value);
    return found == this->sends.end() ? base::slot_id() : found->second.member;
}

request_changes
member_request_table::on_report(base::slot_id member,
                                base::incarnation incarnation,
                                const member_report& received,
                                std::span<const traffic::upstream_load> loads)
{
    request_changes out;
    member_state& state = this->members_by_id[member];
    if (state.incarnation != incarnation) {
        out = this->remove_member(member);
        this->members_by_id[member].incarnation = incarnation;
    }
    member_state& sender = this->members_by_id[member];
    sender.report_count += 1;
    sender.acked_report = received.sequence;
    for (const send_status_update& update : received.status_updates)
        this->apply_status(sender, update, out);
    std::unordered_map<base::upstream_id, traffic::upstream_load>
        loads_by_upstream;
    // The upstream speeds that a member sees count, whoever dispatched the
    // requests.
    for (const traffic::upstream_load& load : loads)
        loads_by_upstream[load.upstream] = {
            load.upstream, 0, 0, load.event_gap};
    for (const running_send& running : received.running) {
        const auto found = sender.sends.find(running.id);
        if (found != sender.sends.end()) {
            send_state& send = this->sends.at(found->second.value);
            this->change_send(send,
                              [](send_state& one) { one.running = true; });
            send.last_report = sender.report_count;
            if (send.grant)
                continue;
        }
        // Sent by the member without a grant, or dispatched by an earlier
        // dispatcher.
        traffic::upstream_load& load = loads_by_upstream[running.upstream];
        load.upstream = running.upstream;
        load.requests += 1;
        load.pending_prefill_tokens += running.pending_prefill_tokens;
    }
    for (const slot_request& request : received.slot_requests)
        this->apply_slot_request(member, sender, request, out);
    this->end_unlisted_sends(sender, out);
    for (const auto& [id, load] : loads_by_upstream)
        out.loads_dispatched_elsewhere.push_back(load);
    return out;
}

void member_request_table::apply_status(member_state& member,
                                        const send_status_update& update,
                                        request_changes& out)
{
    if (update.sequence <= member.acked_status)
        return;
    member.acked_status = update.sequence;
    member.reply_due = true;
    const auto found = member.sends.find(update.id);
    if (found == member.sends.end())
        return;
    const base::request_id id = found->second;
    out.events.push_back(to_event(id, update.status));
    if (update.status != send_status::first_event)
        this->erase_send(id.value);
}

void member_request_table::apply_slot_request(base::slot_id id,
                                              member_state& member,
                                              const slot_request& request,
                                              request_changes& out)
{
    const auto [found, inserted] = member.sends.try_emplace(request.id);
    if (inserted) {
        found->second =
            base::request_id{member_request_bit | this->next_request_number++};
        send_state& send = this->sends[found->second.value];
        send.member = id;
        send.id = request.id;
        send.charge = {request.facts.workspace, request.cost};
        send.charged = request.charged;
        member.reply_due = true;
        out.new_requests.emplace_back(found->second, request);
    }
    send_state& send = this->sends.at(found->second.value);
    send.last_report = member.report_count;
    // The reply was lost, or sent while this report was on its way.
    if (send.grant || send.denial)
        member.reply_due = true;
}

// Ends the sends that the report does not list: their callers left, they were
// given up, or an earlier dispatcher received the update that they ended.
void member_request_table::end_unlisted_sends(member_state& member,
                                              request_changes& out)
{
    std::vector<base::request_id> ended;
    for (const auto& [member_send, id] : member.sends) {
        if (this->sends.at(id.value).last_report != member.report_count)
            ended.push_back(id);
    }
    for (const base::request_id id : ended)
        this->end_send(id, out);
}

void member_request_table::end_send(base::request_id id, request_changes& out)
{
    const auto found = this->sends.find(id.value);
    const send_state& send = found->second;
    if (!send.denial)
        out.events.emplace_back(traffic::caller_left{id});
    if (!send.denial && !send.grant && !send.charged)
        out.refunds.push_back(send.charge);
    this->erase_send(id.value);
}

template <class Change>
void member_request_table::change_send(send_state& send, const Change& apply)
{
    std::size_t& count = this->members_by_id.at(send.member).unacknowledged;
    count -= send.is_unacknowledged() ? 1 : 0;
    apply(send);
    count += send.is_unacknowledged() ? 1 : 0;
}

void member_request_table::erase_send(std::uint64_t id)
{
    const auto found = this->sends.find(id);
    const send_state& send = found->second;
    member_state& member = this->members_by_id.at(send.member);
    member.unacknowledged -= send.is_unacknowledged() ? 1 : 0;
    member.sends.erase(send.id);
    this->sends.erase(found);
}

request_changes member_request_table::remove_member(base::slot_id member)
{
    request_changes out;
    const auto found = this->members_by_id.find(member);
    if (found == this->members_by_id.end())
        return out;
    std::vector<base::request_id> all;
    for (const auto& [member_send, id] : found->second.sends)
        all.push_back(id);
    for (const base::request_id id : all)
        this->end_send(id, out);
    this->members_by_id.erase(member);
    return out;
}

request_changes member_request_table::remove_all_members()
{
    request_changes out;
    std::vector<base::request_id> all;
    for (const auto& [id, send] : this->sends)
        all.push_back(base::request_id{id});
    for (const base::request_id id : all)
        this->end_send(id, out);
    this->members_by_id.clear();
    return out;
}

std::optional<limit_charge>
member_request_table::on_granted(const traffic::send_request& order)
{
    const auto found = this->sends.find(order.request.value);
    if (found == this->sends.end())
        return std::nullopt;
    send_state& send = found->second;
    this->change_send(send, [&](send_state& one) {
        one.grant =
            slot_grant{one.id,
                       order.upstream,
                       order.choice.expected_first_event,
                       order.choice.own_requests + order.choice.peer_requests,
                       order.choice.slots};
    });
    this->members_by_id.at(send.member).reply_due = true;
    if (send.charged)
        return std::nullopt;
    return send.charge;
}

std::optional<limit_charge>
member_request_table::on_denied(base::request_id id,
                                const base::verdict& verdict)
{
    const auto found = this->sends.find(id.value);
    if (found == this->sends.end() || found->second.grant)
        return std::nullopt;
    send_state& send = found->second;
    this->change_send(send, [&](send_state& one) {
        one.denial =
            slot_denial{one.id,
                        verdict.why,
                        verdict.retry_after.value_or(base::duration(0))};
    });
    this->members_by_id.at(send.member).reply_due = true;
    if (send.charged)
        return std::nullopt;
    return send.charge;
}

std::optional<limit_charge>
member_request_table::forget_send(base::request_id id)
{
    const auto found = this->sends.find(id.value);
    if (found == this->sends.end())
        return std::nullopt;
    const send_state ended = found->second;
    this->erase_send(id.value);
    if (ended.charged)
        return std::nullopt;
    return ended.charge;
}

std::vector<base::slot_id>
member_request_table::members_to_answer(base::instant now) const
{
    std::vector<base::slot_id> out;
    for (const auto& [member, state] : this->members_by_id) {
        const bool due = now - state.replied_at >= resend_interval;
        if (state.reply_due || (due && state.unacknowledged > 0))
            out.push_back(member);
    }
    return out;
}

dispatcher_reply member_request_table::build_reply(base::slot_id member,
                                                   base::instant now)
{
    dispatcher_reply out;
    const auto found = this->members_by_id.find(member);
    if (found == this->members_by_id.end())
        return out;
    found->second.reply_due = false;
    found->second.replied_at = now;
    out.acked_report = found->second.acked_report;
    out.acked_status = found->second.acked_status;
    for (const auto& [member_send, id] : found->second.sends) {
        const send_state& send = this->sends.at(id.value);
        if (send.denial)
            out.denials.push_back(*send.denial);
        else if (send.grant && !send.running)
            out.grants.push_back(*send.grant);
    }
    return out;
}

} // namespace greengagedrum::dispatch
