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
                                      send_status::connection_broken,
                                      send_status::reused_connection_lost,
                                      send_status::write_stalled};

// Reasons for which a slot is denied; any other reason is sent as the last one.
constexpr std::array decline_reasons = {base::reason::limit_reached,
                                        base::reason::no_upstream,
                                        base::reason::overloaded};

template <class List, class Value>
std::uint32_t index_in(const List& list, Value value)
{
    const auto found = std::find(list.begin(), list.end(), value);
    const auto index = found == list.end()
                           ? list.size() - 1
                           : static_cast<std::size_t>(found - list.begin());
    return static_cast<std::uint32_t>(index);
}

// A value that only a later build knows is read as the last one of the list.
template <class List>
auto value_at(const List& list, std::uint32_t index)
{
    return list.at(std::min<std::size_t>(index, list.size() - 1));
}

std::uint32_t clamped_count(std::int64_t value)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

flatbuffers::Offset<wire::Wanted>
write_wanted(flatbuffers::FlatBufferBuilder& builder,
             const dispatch::slot_request& request)
{
    std::vector<std::uint64_t> tried;
    for (const base::upstream_id id : request.tried_upstreams)
        tried.push_back(id.value);
    const traffic::request_facts& facts = request.facts;
    const bool at_most_once =
        facts.retry == routing::retry_policy::at_most_once;
    return wire::CreateWanted(builder,
                              request.id.request.value,
                              request.id.send,
                              facts.service.value,
                              facts.workspace.value,
                              facts.kind.value,
                              facts.priority,
                              facts.prompt_tokens,
                              facts.output_tokens,
                              facts.stream,
                              at_most_once,
                              facts.event_gap_objective.count(),
                              facts.time_left.count(),
                              facts.first_event_timeout.count(),
                              facts.prior_sends,
                              request.cost,
                              request.charged,
                              builder.CreateVector(tried),
                              facts.version.value,
                              facts.caller_time_left.count());
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
    facts.event_gap_objective = base::duration(from.gap_objective_us());
    facts.time_left = base::duration(from.time_left_us());
    facts.first_event_timeout = base::duration(from.patience_us());
    facts.prior_sends = from.sends_before();
    facts.version.value = from.version();
    facts.caller_time_left = base::duration(from.caller_time_left_us());
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
             const dispatch::member_report& sent)
{
    std::vector<flatbuffers::Offset<wire::Wanted>> wanted;
    for (const dispatch::slot_request& request : sent.slot_requests)
        wanted.push_back(write_wanted(builder, request));
    std::vector<wire::Running> running;
    for (const dispatch::running_send& send : sent.running)
        running.emplace_back(send.id.request.value,
                             send.upstream.value,
                             send.id.send,
                             send.pending_prefill_tokens);
    std::vector<wire::SendNews> news;
    for (const dispatch::send_status_update& update : sent.status_updates)
        news.emplace_back(update.sequence,
                          update.id.request.value,
                          update.id.send,
                          index_in(send_statuses, update.status));
    std::vector<std::uint64_t> kept;
    for (const base::upstream_id id : sent.kept_upstreams)
        kept.push_back(id.value);
    return wire::CreateReport(builder,
                              builder.CreateVector(wanted),
                              builder.CreateVectorOfStructs(running),
                              builder.CreateVectorOfStructs(news),
                              kept.empty() ? 0 : builder.CreateVector(kept));
}

flatbuffers::Offset<wire::Reply>
write_reply(flatbuffers::FlatBufferBuilder& builder,
            const dispatch::dispatcher_reply& sent)
{
    std::vector<wire::Granted> granted;
    for (const dispatch::slot_grant& grant : sent.grants)
        granted.emplace_back(grant.id.request.value,
                             grant.upstream.value,
                             grant.id.send,
                             clamped_count(grant.expected_first_event.count()),
                             grant.slots_taken,
                             grant.slots);
    std::vector<wire::Declined> declined;
    for (const dispatch::slot_denial& denial : sent.denials) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            denial.retry_after);
        declined.emplace_back(denial.id.request.value,
                              denial.id.send,
                              index_in(decline_reasons, denial.reason),
                              clamped_count(wait.count()));
    }
    return wire::CreateReply(builder,
                             sent.acked_status,
                             builder.CreateVectorOfStructs(granted),
                             builder.CreateVectorOfStructs(declined),
                             sent.acked_report);
}

dispatch::member_report read_report(const wire::Report& from)
{
    dispatch::member_report out;
    if (const auto* list = from.wanted()) {
        for (const wire::Wanted* wanted : *list)
            out.slot_requests.push_back(read_wanted(*wanted));
    }
    if (const auto* list = from.running()) {
        for (const wire::Running* running : *list)
            out.running.push_back(
                {{base::request_id{running->request()}, running->send()},
                 base::upstream_id(running->upstream()),
                 running->unread_tokens()});
    }
    if (const auto* list = from.news()) {
        for (const wire::SendNews* update : *list)
            out.status_updates.push_back(
                {update->number(),
                 {base::request_id{update->request()}, update->send()},
                 value_at(send_statuses, update->what())});
    }
    if (const auto* list = from.kept_upstreams()) {
        for (const std::uint64_t id : *list)
            out.kept_upstreams.emplace_back(id);
    }
    return out;
}

dispatch::dispatcher_reply read_reply(const wire::Reply& from)
{
    dispatch::dispatcher_reply out;
    out.acked_status = from.news_taken();
    out.acked_report = from.report_taken();
    if (const auto* list = from.granted()) {
        for (const wire::Granted* granted : *list)
            out.grants.push_back(
                {{base::request_id{granted->request()}, granted->send()},
                 base::upstream_id(granted->upstream()),
                 std::chrono::microseconds(granted->expected_us()),
                 granted->taken(),
                 granted->places()});
    }
    if (const auto* list = from.declined()) {
        for (const wire::Declined* declined : *list)
            out.denials.push_back(
                {{base::request_id{declined->request()}, declined->send()},
                 value_at(decline_reasons, declined->why()),
                 std::chrono::milliseconds(declined->retry_after_ms())});
    }
    return out;
}

} // namespace greengagedrum::gossip
