#include <greengagedrum/gossip/compression.hpp>
#include <greengagedrum/gossip/congestion_codec.hpp>
#include <greengagedrum/gossip/dispatch_codec.hpp>
#include <greengagedrum/gossip/flatbuffer_bytes.hpp>
#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/gossip/rate_limit_codec.hpp>
#include <greengagedrum/gossip/suspect_codec.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace greengagedrum::gossip
{

namespace
{

std::uint32_t milliseconds_of(base::duration value)
{
    constexpr std::int64_t max_count = 3'600'000;
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, max_count));
}

std::uint32_t microseconds_of(base::duration value)
{
    constexpr std::int64_t max_count = 60'000'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(value.count(), 0, max_count));
}

using number_list = flatbuffers::Vector<std::uint32_t>;

// Zero if the list is missing or too short, as from an entry of an earlier
// build.
std::uint32_t number_at(const number_list* list, std::size_t at)
{
    if (list == nullptr || at >= list->size())
        return 0;
    return list->Get(static_cast<flatbuffers::uoffset_t>(at));
}

std::vector<traffic::upstream_load>
loads_of(const flatbuffers::Vector<const wire::Use*>& list,
         const number_list* gaps)
{
    std::vector<traffic::upstream_load> out;
    for (const wire::Use* use : list) {
        const std::size_t at = out.size();
        traffic::upstream_load load{base::upstream_id(use->upstream()),
                                    use->requests(),
                                    use->prompt_tokens()};
        load.event_gap = std::chrono::microseconds(number_at(gaps, at));
        out.push_back(load);
    }
    return out;
}

// The numbers of element `at`, from a flat list with equally many numbers for
// each of `count` elements.
std::vector<std::uint32_t>
numbers_of(const number_list* list, std::size_t at, std::size_t count)
{
    const std::size_t numbers_each = list == nullptr ? 0 : list->size() / count;
    std::vector<std::uint32_t> out(numbers_each);
    for (std::size_t part = 0; part < numbers_each; ++part)
        out[part] = number_at(list, at * numbers_each + part);
    return out;
}

std::vector<quota::workspace_usage>
workspace_usage_of(const flatbuffers::Vector<const wire::WorkspaceUse*>& list,
                   const wire::Message& from)
{
    std::vector<quota::workspace_usage> out;
    for (const wire::WorkspaceUse* workspace : list) {
        const std::size_t at = out.size();
        out.push_back(
            {base::workspace_id(workspace->workspace()),
             workspace->used(),
             number_at(from.workspace_waiting(), at),
             number_at(from.workspace_lately(), at),
             numbers_of(from.workspace_all_lately(), at, list.size())});
    }
    return out;
}

// A kind that only a later build knows is read as one that carries no load and
// needs no answer.
message_kind kind_of(std::uint8_t from)
{
    const auto kind = static_cast<message_kind>(from);
    return from <= static_cast<std::uint8_t>(message_kind::dispatcher_load) ||
                   kind == message_kind::suspect_query ||
                   kind == message_kind::suspect_page
               ? static_cast<message_kind>(from)
               : message_kind::dispatcher_query_reply;
}

// An entry of an earlier build sends no standings.
std::vector<known_entry>
known_entries_of(const flatbuffers::Vector<const wire::Known*>& list,
                 const flatbuffers::Vector<const wire::Standing*>* standings)
{
    std::vector<known_entry> out;
    for (const wire::Known* known : list) {
        const auto at = static_cast<flatbuffers::uoffset_t>(out.size());
        known_entry listed{known->address(),
                           std::chrono::milliseconds(known->age_ms())};
        if (standings != nullptr && at < standings->size()) {
            listed.data_centre.value = standings->Get(at)->data_centre();
            listed.cpu_millicores = standings->Get(at)->strength();
        }
        out.push_back(listed);
    }
    return out;
}

wire::WaitingLevels wire_queue_of(const traffic::queue_report& sent)
{
    std::array<std::uint16_t, traffic::priority_levels> counts{};
    std::transform(sent.lengths.begin(),
                   sent.lengths.end(),
                   counts.begin(),
                   [](std::uint32_t count) {
                       return static_cast<std::uint16_t>(
                           std::min<std::uint32_t>(count, UINT16_MAX));
                   });
    return {sent.service.value, counts};
}

traffic::queue_report queue_report_of(const wire::WaitingLevels& from)
{
    traffic::queue_report out{base::upstream_class_id(from.service()), {}};
    for (std::size_t level = 0; level < out.lengths.size(); ++level)
        out.lengths.at(level) =
            from.counts()->Get(static_cast<flatbuffers::uoffset_t>(level));
    return out;
}

// The usage of workspaces as the parallel vectors of a message.
struct usage_fields {
    std::vector<wire::WorkspaceUse> uses;
    std::vector<std::uint32_t> waiting;
    std::vector<std::uint32_t> sent_in_window;
    std::vector<std::uint32_t> sent_in_window_by_all;
};

usage_fields usage_fields_of(std::span<const quota::workspace_usage> workspaces)
{
    usage_fields out;
    for (const auto& workspace : workspaces) {
        out.uses.emplace_back(workspace.workspace.value, workspace.sent_total);
        out.waiting.push_back(workspace.waiting);
        out.sent_in_window.push_back(workspace.sent_in_window);
        out.sent_in_window_by_all.insert(out.sent_in_window_by_all.end(),
                                         workspace.all_sent_in_window.begin(),
                                         workspace.all_sent_in_window.end());
    }
    return out;
}

} // namespace

std::string encode(const message& sent)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::Use> uses;
    std::vector<std::uint32_t> gaps;
    for (const auto& load : sent.upstream_loads) {
        uses.emplace_back(
            load.upstream.value, load.requests, load.pending_prefill_tokens);
        gaps.push_back(microseconds_of(load.event_gap));
    }
    std::vector<wire::WaitingLevels> waiting;
    for (const auto& queue : sent.queue_reports)
        waiting.push_back(wire_queue_of(queue));
    const usage_fields usage = usage_fields_of(sent.workspace_usage);
    std::vector<wire::Known> known;
    std::vector<wire::Standing> standings;
    for (const auto& listed : sent.known_entries) {
        known.emplace_back(listed.address, milliseconds_of(listed.age));
        standings.emplace_back(listed.data_centre.value, listed.cpu_millicores);
    }
    flatbuffers::Offset<wire::Report> report;
    if (sent.kind == message_kind::report)
        report = write_report(builder, sent.report);
    flatbuffers::Offset<wire::Reply> reply;
    if (sent.kind == message_kind::reply)
        reply = write_reply(builder, sent.reply);
    const wire::SuspectsWanted wanted = wire_query_of(sent.suspect_query);
    const wire::SuspectPage page = wire_page_of(sent.suspect_page);
    const suspect_offsets suspects = write_suspects(builder, sent.suspects);
    const auto limit_needs = write_limit_needs(builder, sent.limit_needs);
    const auto limit_grant = write_limit_grant(builder, sent.limit_grant);
    const auto root = wire::CreateMessage(
        builder,
        sent.incarnation.value,
        sent.sequence,
        builder.CreateString(sent.instance),
        builder.CreateString(sent.data_centre),
        sent.address,
        sent.stopping,
        sent.configuration_revision,
        sent.store_revision,
        builder.CreateVectorOfStructs(uses),
        builder.CreateVectorOfStructs(usage.uses),
        builder.CreateVectorOfStructs(known),
        builder.CreateVector(gaps),
        builder.CreateVectorOfStructs(waiting),
        sent.change_revision,
        milliseconds_of(sent.store_age),
        builder.CreateVector(usage.waiting),
        builder.CreateVector(usage.sent_in_window),
        builder.CreateVector(usage.sent_in_window_by_all),
        sent.cpu_millicores,
        builder.CreateVectorOfStructs(standings),
        static_cast<std::uint8_t>(sent.kind),
        sent.delegating,
        sent.change_count,
        sent.state_digest,
        report,
        reply,
        milliseconds_of(sent.uptime),
        sent.dispatching,
        suspects.suspects,
        suspects.crashes,
        write_rate_limits(builder, sent.rate_limits),
        static_cast<std::uint32_t>(sent.store_latency.count()),
        sent.accepts_compressed,
        sent.congested,
        sent.link_bytes_per_second,
        write_known_congestion(builder, sent),
        {}, // stream versions are messages of their own
        suspects.kinds,
        limit_needs,
        limit_grant,
        sent.kind == message_kind::suspect_query ? &wanted : nullptr,
        sent.kind == message_kind::suspect_page ? &page : nullptr,
        sent.recipient.value);
    builder.Finish(root);
    return bytes_of(builder);
}

std::optional<message> decode_message(std::string_view bytes)
{
    if (is_compressed(bytes))
        return decode_compressed_message(bytes);
    flatbuffers::Verifier verifier(unsigned_bytes(bytes), bytes.size());
    if (!verifier.VerifyBuffer<wire::Message>(nullptr))
        return std::nullopt;
    const auto* root = flatbuffers::GetRoot<wire::Message>(bytes.data());
    message out;
    out.incarnation.value = root->life();
    out.recipient.value = root->recipient_life();
    out.sequence = root->sequence();
    out.instance = string_of(root->instance());
    out.data_centre = string_of(root->data_centre());
    out.address = root->address();
    out.stopping = root->stopping();
    out.configuration_revision = root->configuration_revision();
    out.store_revision = root->store_revision();
    out.change_revision = root->change_revision();
    out.store_age = std::chrono::milliseconds(root->store_age_ms());
    if (const auto* list = root->uses())
        out.upstream_loads = loads_of(*list, root->event_gaps_us());
    if (const auto* list = root->waiting_levels()) {
        for (const wire::WaitingLevels* levels : *list)
            out.queue_reports.push_back(queue_report_of(*levels));
    }
    if (const auto* list = root->workspace_uses())
        out.workspace_usage = workspace_usage_of(*list, *root);
    if (const auto* list = root->known())
        out.known_entries = known_entries_of(*list, root->standings());
    out.cpu_millicores = root->strength();
    read_congestion(*root, out);
    out.uptime = std::chrono::milliseconds(root->lived_for_ms());
    out.kind = kind_of(root->kind());
    out.delegating = root->delegating();
    out.dispatching = root->serving();
    out.change_count = root->changes();
    out.state_digest = root->digest();
    if (const auto* report = root->report())
        out.report = read_report(*report);
    out.suspects = read_suspects(*root);
    if (const auto* wanted = root->suspects_wanted())
        out.suspect_query = suspect_query_of(*wanted);
    if (const auto* page = root->suspect_page())
        out.suspect_page = suspect_page_of(*page);
    out.rate_limits = read_rate_limits(*root);
    out.limit_needs = read_limit_needs(*root);
    out.limit_grant = read_limit_grant(*root);
    out.store_latency = base::duration(root->store_latency_us());
    out.accepts_compressed = root->reads_packed();
    out.report.sequence = out.sequence;
    if (const auto* reply = root->reply())
        out.reply = read_reply(*reply);
    return out;
}

} // namespace greengagedrum::gossip
