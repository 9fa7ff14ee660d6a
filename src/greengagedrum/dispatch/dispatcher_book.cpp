#include <greengagedrum/dispatch/dispatcher_book.hpp>

#include <algorithm>

namespace greengagedrum::dispatch
{

namespace
{

// Own requests are counted from one; no process takes 2^63 of them.
constexpr std::uint64_t members_bit = 1ULL << 63U;

// The scheduler here sends each of them once: what comes after is a new send.
constexpr std::uint32_t only_send = 1;

traffic::event event_of(base::request_id id, send_status what)
{
    switch (what) {
    case send_status::first_event:
        return traffic::progressed{id, only_send, 1};
    case send_status::completed:
        return traffic::answered{id, only_send, true};
    case send_status::error_answer:
        return traffic::answered{id, only_send, false};
    case send_status::not_sent:
        return traffic::not_sent{id, only_send};
    case send_status::rejected_full:
        return traffic::turned_away{id, only_send, traffic::turn_away::full};
    case send_status::misdirected:
        return traffic::turned_away{
            id, only_send, traffic::turn_away::misdirected};
    case send_status::connection_broken:
        break;
    }
    return traffic::broken{id, only_send};
}

} // namespace

bool member_request_table::is_member_request(base::request_id id)
{
    return (id.value & members_bit) != 0;
}

// ---- Reports --------------------------------------------------------------

request_changes
member_request_table::on_report(base::slot_id member,
                                base::incarnation life,
                                const member_report& told,
                                std::span<const traffic::upstream_use> uses)
{
    request_changes out;
    member_state& state = this->of[member];
    if (state.life != life) {
        out = this->remove_member(member);
        this->of[member].life = life;
    }
    member_state& own = this->of[member];
    own.reports += 1;
    own.report_taken = told.sequence;
    for (const send_status_update& one : told.status_updates)
        this->take_news(own, one, out);
    std::unordered_map<base::upstream_id, traffic::upstream_use> others;
    // What it sees of upstreams' speed counts, whoever placed the request.
    for (const traffic::upstream_use& use : uses)
        others[use.upstream] = {use.upstream, 0, 0, use.event_gap};
    for (const running_send& one : told.running) {
        const auto found = own.sends.find(one.id);
        if (found != own.sends.end()) {
            send_state& send = this->sends.at(found->second.value);
            send.running = true;
            send.shown_in = own.reports;
            if (send.granted)
                continue;
        }
        // Sent by the member itself, or placed by a dispatcher before this one.
        traffic::upstream_use& use = others[one.upstream];
        use.upstream = one.upstream;
        use.requests += 1;
        use.prompt_tokens += one.unprocessed_prompt_tokens;
    }
    for (const slot_request& one : told.slot_requests)
        this->take_wanted(member, own, one, out);
    this->drop_unnamed(own, out);
    for (const auto& [id, use] : others)
        out.uses_placed_elsewhere.push_back(use);
    return out;
}

void member_request_table::take_news(member_state& member,
                                     const send_status_update& news,
                                     request_changes& out)
{
    if (news.sequence <= member.news_taken)
        return;
    member.news_taken = news.sequence;
    member.unanswered = true;
    const auto found = member.sends.find(news.id);
    if (found == member.sends.end())
        return;
    const base::request_id id = found->second;
    out.events.push_back(event_of(id, news.status));
    if (news.status == send_status::first_event)
        return;
    member.sends.erase(found);
    this->sends.erase(id.value);
}

void member_request_table::take_wanted(base::slot_id id,
                                       member_state& member,
                                       const slot_request& wanted,
                                       request_changes& out)
{
    const auto [found, fresh] = member.sends.try_emplace(wanted.id);
    if (fresh) {
        found->second = base::request_id{members_bit | this->next++};
        send_state& send = this->sends[found->second.value];
        send.member = id;
        send.id = wanted.id;
        send.charge = {wanted.facts.workspace, wanted.cost};
        send.charged = wanted.charged;
        member.unanswered = true;
        out.new_requests.emplace_back(found->second, wanted);
    }
    send_state& send = this->sends.at(found->second.value);
    send.shown_in = member.reports;
    // The reply to it was lost, or crossed this report.
    if (send.granted || send.declined)
        member.unanswered = true;
}

// A send that a whole report does not name has ended: its caller left, it was
// given up on, or its end was told in news that a dispatcher before this one
// took.
void member_request_table::drop_unnamed(member_state& member,
                                        request_changes& out)
{
    std::vector<base::request_id> gone;
    for (const auto& [name, id] : member.sends) {
        if (this->sends.at(id.value).shown_in != member.reports)
            gone.push_back(id);
    }
    for (const base::request_id id : gone)
        this->drop(id, out);
}

void member_request_table::drop(base::request_id id, request_changes& out)
{
    const auto found = this->sends.find(id.value);
    const send_state& send = found->second;
    if (!send.declined)
        out.events.emplace_back(traffic::caller_left{id});
    if (!send.declined && !send.granted && !send.charged)
        out.released_charges.push_back(send.charge);
    this->of.at(send.member).sends.erase(send.id);
    this->sends.erase(found);
}

request_changes member_request_table::remove_member(base::slot_id member)
{
    request_changes out;
    const auto found = this->of.find(member);
    if (found == this->of.end())
        return out;
    std::vector<base::request_id> all;
    for (const auto& [name, id] : found->second.sends)
        all.push_back(id);
    for (const base::request_id id : all)
        this->drop(id, out);
    this->of.erase(member);
    return out;
}

request_changes member_request_table::remove_all_members()
{
    request_changes out;
    std::vector<base::request_id> all;
    for (const auto& [id, send] : this->sends)
        all.push_back(base::request_id{id});
    for (const base::request_id id : all)
        this->drop(id, out);
    this->of.clear();
    return out;
}

// ---- Decisions ------------------------------------------------------------

std::optional<limit_charge>
member_request_table::on_granted(const traffic::send_request& order)
{
    const auto found = this->sends.find(order.request.value);
    if (found == this->sends.end())
        return std::nullopt;
    send_state& send = found->second;
    send.granted = slot_grant{send.id,
                              order.upstream,
                              order.why.first_event,
                              order.why.own + order.why.others,
                              order.why.places};
    this->of.at(send.member).unanswered = true;
    if (send.charged)
        return std::nullopt;
    return send.charge;
}

std::optional<limit_charge>
member_request_table::on_declined(base::request_id id, const base::verdict& why)
{
    const auto found = this->sends.find(id.value);
    if (found == this->sends.end() || found->second.granted)
        return std::nullopt;
    send_state& send = found->second;
    send.declined = slot_denial{
        send.id, why.why, why.retry_after.value_or(base::duration(0))};
    this->of.at(send.member).unanswered = true;
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
    const send_state gone = found->second;
    this->of.at(gone.member).sends.erase(gone.id);
    this->sends.erase(found);
    if (gone.charged)
        return std::nullopt;
    return gone.charge;
}

// ---- Replies --------------------------------------------------------------

bool member_request_table::has_untaken(const member_state& member) const
{
    return std::any_of(
        member.sends.begin(), member.sends.end(), [&](const auto& entry) {
            const send_state& send = this->sends.at(entry.second.value);
            return send.declined || (send.granted && !send.running);
        });
}

std::vector<base::slot_id>
member_request_table::members_to_answer(base::instant now) const
{
    std::vector<base::slot_id> out;
    for (const auto& [member, state] : this->of) {
        const bool due = now - state.replied_at >= resend_interval;
        if (state.unanswered || (due && this->has_untaken(state)))
            out.push_back(member);
    }
    return out;
}

dispatcher_reply member_request_table::build_reply(base::slot_id member,
                                                   base::instant now)
{
    dispatcher_reply out;
    const auto found = this->of.find(member);
    if (found == this->of.end())
        return out;
    found->second.unanswered = false;
    found->second.replied_at = now;
    out.acked_report = found->second.report_taken;
    out.acked_status = found->second.news_taken;
    for (const auto& [name, id] : found->second.sends) {
        const send_state& send = this->sends.at(id.value);
        if (send.declined)
            out.denials.push_back(*send.declined);
        else if (send.granted && !send.running)
            out.grants.push_back(*send.granted);
    }
    return out;
}

} // namespace greengagedrum::dispatch
