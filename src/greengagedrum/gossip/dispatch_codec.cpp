#include <greengagedrum/gossip/dispatch_codec.hpp>

#include <algorithm>
#include <array>

namespace greengagedrum::gossip
{

namespace
{

using dispatch::send_status;

constexpr std::array send_statuses = {send_status::first_event,
                                      send_status::completed,
                                      send_status::error_answer,
                                      send_status::not_sent,
                                      send_status::rejected_full,
                                      send_status::misdirected,
                                      send_status::connection_broken};

// Reasons for which a place is declined; any other is told as the last.
constexpr std::array decline_reasons = {base::reason::limit_reached,
                                        base::reason::no_upstream,
                                        base::reason::overloaded};

template <class List, class Value>
std::uint32_t index_in(const List& list, Value value)
{
    const auto found = std::find(list.begin(), list.end(), value);
    const auto at = found == list.end()
                        ? list.size() - 1
                        : static_cast<std::size_t>(found - list.begin());
    return static_cast<std::uint32_t>(at);
}

// What an entry of a later build tells may be beyond the list.
template <class List>
auto value_at(const List& list, std::uint32_t at)
{
    return list.at(std::min<std::size_t>(at, list.size() - 1));
}

std::uint32_t unsigned_count(std::int64_t value)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

flatbuffers::Offset<wire::Wanted>
write_wanted(flatbuffers::FlatBufferBuilder& builder,
             const dispatch::slot_request& one)
{
    std::vector<std::uint64_t> tried;
    for (const base::upstream_id id : one.tried_upstreams)
        tried.push_back(id.value);
    const traffic::request_facts& facts = one.facts;
    const bool at_most_once =
        facts.retry == routing::retry_policy::at_most_once;
    return wire::CreateWanted(builder,
                              one.id.request.value,
                              one.id.send,
                              facts.service.value,
                              facts.workspace.value,
                              facts.kind.value,
                              facts.priority,
                              facts.prompt_tokens,
                              facts.output_tokens,
                              facts.stream,
                              at_most_once,
                              facts.latency_objective.count(),
                              facts.event_gap_objective.count(),
                              facts.time_left.count(),
                              facts.first_event_timeout.count(),
                              facts.prior_sends,
                              one.cost,
                              one.charged,
                              builder.CreateVector(tried));
}

dispatch::slot_request read_wanted(const wire::Wanted& from)
{
    dispatch::slot_request out;
    out.id = {base::request_id{from.request()}, from.send()};
    traffic::request_facts& facts = out.facts;
    facts.service.value = from.service();
    facts.workspace.value = from.workspace();
    facts.kind.value = from.kind();
    facts.priority = from.priority();
    facts.prompt_tokens = from.prompt_tokens();
    facts.output_tokens = from.output_tokens();
    facts.stream = from.stream();
    facts.retry = from.at_most_once() ? routing::retry_policy::at_most_once
                                      : routing::retry_policy::idempotent;
    facts.latency_objective = base::duration(from.objective_us());
    facts.event_gap_objective = base::duration(from.gap_objective_us());
    facts.time_left = base::duration(from.time_left_us());
    facts.first_event_timeout = base::duration(from.patience_us());
    facts.prior_sends = from.sends_before();
    facts.delegated = true;
    out.cost = from.cost();
    out.charged = from.counted();
    if (const auto* list = from.tried()) {
        for (const std::uint64_t id : *list)
            out.tried_upstreams.emplace_back(id);
    }
    return out;
}

} // namespace

flatbuffers::Offset<wire::Report>
write_report(flatbuffers::FlatBufferBuilder& builder,
             const dispatch::member_report& told)
{
    std::vector<flatbuffers::Offset<wire::Wanted>> wanted;
    for (const dispatch::slot_request& one : told.slot_requests)
        wanted.push_back(write_wanted(builder, one));
    std::vector<wire::Running> running;
    for (const dispatch::running_send& one : told.running)
        running.emplace_back(one.id.request.value,
                             one.upstream.value,
                             one.id.send,
                             one.unprocessed_prompt_tokens);
    std::vector<wire::SendNews> news;
    for (const dispatch::send_status_update& one : told.status_updates)
        news.emplace_back(one.sequence,
                          one.id.request.value,
                          one.id.send,
                          index_in(send_statuses, one.status));
    return wire::CreateReport(builder,
                              builder.CreateVector(wanted),
                              builder.CreateVectorOfStructs(running),
                              builder.CreateVectorOfStructs(news));
}

flatbuffers::Offset<wire::Reply>
write_reply(flatbuffers::FlatBufferBuilder& builder,
            const dispatch::dispatcher_reply& told)
{
    std::vector<wire::Granted> granted;
    for (const dispatch::slot_grant& one : told.grants)
        granted.emplace_back(one.id.request.value,
                             one.upstream.value,
                             one.id.send,
                             unsigned_count(one.expected_first_event.count()),
                             one.slots_taken,
                             one.slots);
    std::vector<wire::Declined> declined;
    for (const dispatch::slot_denial& one : told.denials) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            one.retry_after);
        declined.emplace_back(one.id.request.value,
                              one.id.send,
                              index_in(decline_reasons, one.reason),
                              unsigned_count(wait.count()));
    }
    return wire::CreateReply(builder,
                             told.acked_status,
                             builder.CreateVectorOfStructs(granted),
                             builder.CreateVectorOfStructs(declined),
                             told.acked_report);
}

dispatch::member_report read_report(const wire::Report& from)
{
    dispatch::member_report out;
    if (const auto* list = from.wanted()) {
        for (const wire::Wanted* one : *list)
            out.slot_requests.push_back(read_wanted(*one));
    }
    if (const auto* list = from.running()) {
        for (const wire::Running* one : *list)
            out.running.push_back(
                {{base::request_id{one->request()}, one->send()},
                 base::upstream_id(one->upstream()),
                 one->unread_tokens()});
    }
    if (const auto* list = from.news()) {
        for (const wire::SendNews* one : *list)
            out.status_updates.push_back(
                {one->number(),
                 {base::request_id{one->request()}, one->send()},
                 value_at(send_statuses, one->what())});
    }
    return out;
}

dispatch::dispatcher_reply read_reply(const wire::Reply& from)
{
    dispatch::dispatcher_reply out;
    out.acked_status = from.news_taken();
    out.acked_report = from.report_taken();
    if (const auto* list = from.granted()) {
        for (const wire::Granted* one : *list)
            out.grants.push_back(
                {{base::request_id{one->request()}, one->send()},
                 base::upstream_id(one->upstream()),
                 std::chrono::microseconds(one->expected_us()),
                 one->taken(),
                 one->places()});
    }
    if (const auto* list = from.declined()) {
        for (const wire::Declined* one : *list)
            out.denials.push_back(
                {{base::request_id{one->request()}, one->send()},
                 value_at(decline_reasons, one->why()),
                 std::chrono::milliseconds(one->retry_after_ms())});
    }
    return out;
}

} // namespace greengagedrum::gossip
