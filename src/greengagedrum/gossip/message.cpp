#include <greengagedrum/gossip/dispatch_codec.hpp>
#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/gossip/message.hpp>
#include <greengagedrum/gossip/suspect_codec.hpp>

#include <algorithm>
#include <array>

namespace greengagedrum::gossip
{

namespace
{

std::uint32_t milliseconds_of(base::duration value)
{
    constexpr std::int64_t most = 3'600'000;
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
}

std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

const std::uint8_t* unsigned_bytes(std::string_view bytes)
{
    return reinterpret_cast<const std::uint8_t*>(bytes.data());
}

std::string text_of(const flatbuffers::String* from)
{
    return from == nullptr ? std::string() : from->str();
}

std::uint32_t microseconds_of(base::duration value)
{
    constexpr std::int64_t most = 60'000'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(value.count(), 0, most));
}

using number_list = flatbuffers::Vector<std::uint32_t>;

// Zero where an entry of an earlier build tells none.
std::uint32_t number_at(const number_list* list, std::size_t at)
{
    if (list == nullptr || at >= list->size())
        return 0;
    return list->Get(static_cast<flatbuffers::uoffset_t>(at));
}

std::vector<traffic::upstream_load>
uses_of(const flatbuffers::Vector<const wire::Use*>& list,
        const number_list* gaps)
{
    std::vector<traffic::upstream_load> out;
    for (const wire::Use* one : list) {
        const std::size_t at = out.size();
        traffic::upstream_load use{base::upstream_id(one->upstream()),
                                   one->requests(),
                                   one->prompt_tokens()};
        use.event_gap = std::chrono::microseconds(number_at(gaps, at));
        out.push_back(use);
    }
    return out;
}

// Of a list that has equally many numbers for each of `count`, those of one.
std::vector<std::uint32_t>
numbers_of(const number_list* list, std::size_t at, std::size_t count)
{
    const std::size_t each = list == nullptr ? 0 : list->size() / count;
    std::vector<std::uint32_t> out(each);
    for (std::size_t part = 0; part < each; ++part)
        out[part] = number_at(list, at * each + part);
    return out;
}

std::vector<quota::workspace_usage>
workspace_uses_of(const flatbuffers::Vector<const wire::WorkspaceUse*>& list,
                  const wire::Message& from)
{
    std::vector<quota::workspace_usage> out;
    for (const wire::WorkspaceUse* one : list) {
        const std::size_t at = out.size();
        out.push_back(
            {base::workspace_id(one->workspace()),
             one->used(),
             number_at(from.workspace_waiting(), at),
             number_at(from.workspace_lately(), at),
             numbers_of(from.workspace_all_lately(), at, list.size())});
    }
    return out;
}

// One of a later build's is no load, and asks for nothing.
message_kind kind_of(std::uint8_t from)
{
    constexpr auto last = message_kind::dispatcher_load;
    return from <= static_cast<std::uint8_t>(last)
               ? static_cast<message_kind>(from)
               : message_kind::dispatcher_query_reply;
}

// An entry of an earlier build tells no standings.
std::vector<known_entry>
known_of(const flatbuffers::Vector<const wire::Known*>& list,
         const flatbuffers::Vector<const wire::Standing*>* standings)
{
    std::vector<known_entry> out;
    for (const wire::Known* one : list) {
        const auto at = static_cast<flatbuffers::uoffset_t>(out.size());
        known_entry named{one->address(),
                          std::chrono::milliseconds(one->age_ms())};
        if (standings != nullptr && at < standings->size()) {
            named.data_centre.value = standings->Get(at)->data_centre();
            named.cpu_millicores = standings->Get(at)->strength();
        }
        out.push_back(named);
    }
    return out;
}

wire::WaitingLevels levels_of(const traffic::queue_report& told)
{
    std::array<std::uint16_t, traffic::priority_levels> counts{};
    std::transform(told.lengths.begin(),
                   told.lengths.end(),
                   counts.begin(),
                   [](std::uint32_t count) {
                       return static_cast<std::uint16_t>(
                           std::min<std::uint32_t>(count, UINT16_MAX));
                   });
    return {told.service.value, counts};
}

traffic::queue_report waiting_of(const wire::WaitingLevels& from)
{
    traffic::queue_report out{base::upstream_class_id(from.service()), {}};
    for (std::size_t level = 0; level < out.lengths.size(); ++level)
        out.lengths.at(level) =
            from.counts()->Get(static_cast<flatbuffers::uoffset_t>(level));
    return out;
}

} // namespace

std::string encode(const message& told)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::Use> uses;
    std::vector<std::uint32_t> gaps;
    for (const auto& one : told.upstream_loads) {
        uses.emplace_back(
            one.upstream.value, one.requests, one.pending_prefill_tokens);
        gaps.push_back(microseconds_of(one.event_gap));
    }
    std::vector<wire::WaitingLevels> waiting;
    for (const auto& one : told.queue_reports)
        waiting.push_back(levels_of(one));
    std::vector<wire::WorkspaceUse> spent;
    std::vector<std::uint32_t> spent_waiting;
    std::vector<std::uint32_t> spent_lately;
    std::vector<std::uint32_t> spent_by_all;
    for (const auto& one : told.workspace_usage) {
        spent.emplace_back(one.workspace.value, one.sent_total);
        spent_waiting.push_back(one.waiting);
        spent_lately.push_back(one.sent_in_window);
        spent_by_all.insert(spent_by_all.end(),
                            one.all_sent_in_window.begin(),
                            one.all_sent_in_window.end());
    }
    std::vector<wire::Known> known;
    std::vector<wire::Standing> standings;
    for (const auto& one : told.known_entries) {
        known.emplace_back(one.address, milliseconds_of(one.age));
        standings.emplace_back(one.data_centre.value, one.cpu_millicores);
    }
    flatbuffers::Offset<wire::Report> report;
    if (told.kind == message_kind::report)
        report = write_report(builder, told.report);
    flatbuffers::Offset<wire::Reply> reply;
    if (told.kind == message_kind::reply)
        reply = write_reply(builder, told.reply);
    const suspect_offsets suspects = write_suspects(builder, told.suspects);
    const auto root =
        wire::CreateMessage(builder,
                            told.incarnation.value,
                            told.sequence,
                            builder.CreateString(told.instance),
                            builder.CreateString(told.data_centre),
                            told.address,
                            told.stopping,
                            told.configuration_revision,
                            told.store_revision,
                            builder.CreateVectorOfStructs(uses),
                            builder.CreateVectorOfStructs(spent),
                            builder.CreateVectorOfStructs(known),
                            builder.CreateVector(gaps),
                            builder.CreateVectorOfStructs(waiting),
                            told.change_revision,
                            milliseconds_of(told.store_age),
                            builder.CreateVector(spent_waiting),
                            builder.CreateVector(spent_lately),
                            builder.CreateVector(spent_by_all),
                            told.cpu_millicores,
                            builder.CreateVectorOfStructs(standings),
                            static_cast<std::uint8_t>(told.kind),
                            told.delegating,
                            told.change_count,
                            told.state_digest,
                            report,
                            reply,
                            milliseconds_of(told.uptime),
                            told.dispatching,
                            suspects.requests,
                            suspects.crashes);
    builder.Finish(root);
    return bytes_of(builder);
}

std::optional<message> decode_message(std::string_view bytes)
{
    flatbuffers::Verifier verifier(unsigned_bytes(bytes), bytes.size());
    if (!verifier.VerifyBuffer<wire::Message>(nullptr))
        return std::nullopt;
    const auto* root = flatbuffers::GetRoot<wire::Message>(bytes.data());
    message out;
    out.incarnation.value = root->life();
    out.sequence = root->sequence();
    out.instance = text_of(root->instance());
    out.data_centre = text_of(root->data_centre());
    out.address = root->address();
    out.stopping = root->stopping();
    out.configuration_revision = root->configuration_revision();
    out.store_revision = root->store_revision();
    out.change_revision = root->change_revision();
    out.store_age = std::chrono::milliseconds(root->store_age_ms());
    if (const auto* list = root->uses())
        out.upstream_loads = uses_of(*list, root->event_gaps_us());
    if (const auto* list = root->waiting_levels()) {
        for (const wire::WaitingLevels* one : *list)
            out.queue_reports.push_back(waiting_of(*one));
    }
    if (const auto* list = root->workspace_uses())
        out.workspace_usage = workspace_uses_of(*list, *root);
    if (const auto* list = root->known())
        out.known_entries = known_of(*list, root->standings());
    out.cpu_millicores = root->strength();
    out.uptime = std::chrono::milliseconds(root->lived_for_ms());
    out.kind = kind_of(root->kind());
    out.delegating = root->delegating();
    out.dispatching = root->serving();
    out.change_count = root->changes();
    out.state_digest = root->digest();
    if (const auto* report = root->report())
        out.report = read_report(*report);
    out.suspects = read_suspects(*root);
    out.report.sequence = out.sequence;
    if (const auto* reply = root->reply())
        out.reply = read_reply(*reply);
    return out;
}

std::string encode(const item_transfer& passed)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::Item>> items;
    for (const routing::store_item& one : passed.items)
        items.push_back(wire::CreateItem(builder,
                                         builder.CreateString(one.key),
                                         builder.CreateString(one.value),
                                         one.revision,
                                         one.removed));
    const auto root = wire::CreateItems(builder,
                                        passed.store_revision,
                                        passed.complete,
                                        builder.CreateVector(items),
                                        passed.change_revision,
                                        passed.incarnation.value,
                                        passed.change_count);
    builder.Finish(root);
    return bytes_of(builder);
}

std::optional<item_transfer> decode_items(std::string_view bytes)
{
    flatbuffers::Verifier verifier(unsigned_bytes(bytes), bytes.size());
    if (!verifier.VerifyBuffer<wire::Items>(nullptr))
        return std::nullopt;
    const auto* root = flatbuffers::GetRoot<wire::Items>(bytes.data());
    item_transfer out;
    out.store_revision = root->store_revision();
    out.complete = root->whole();
    out.change_revision = root->change_revision();
    out.incarnation.value = root->life();
    out.change_count = root->changes();
    if (root->items() == nullptr)
        return out;
    for (const wire::Item* one : *root->items())
        out.items.push_back({text_of(one->key()),
                             text_of(one->value()),
                             one->revision(),
                             one->removed()});
    return out;
}

} // namespace greengagedrum::gossip
