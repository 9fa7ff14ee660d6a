#include <greengagedrum/gossip/suspect_codec.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace greengagedrum::gossip
{

namespace
{

enum class page_state : std::uint32_t { more_follow, complete, uninformed };

constexpr std::uint32_t never = std::numeric_limits<std::uint32_t>::max();

// Capped at 49 days, the largest value below `never`.
std::uint32_t age_ms(base::duration age)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, never - 1));
}

std::uint32_t age_ms(const std::optional<base::duration>& age)
{
    return age ? age_ms(*age) : never;
}

std::optional<base::duration> optional_age(std::uint32_t count)
{
    if (count == never)
        return std::nullopt;
    return std::chrono::milliseconds(count);
}

} // namespace

suspect_offsets write_suspects(flatbuffers::FlatBufferBuilder& builder,
                               std::span<const quarantine::suspect_report> sent)
{
    if (sent.empty())
        return {};
    std::vector<wire::Suspect> suspects;
    std::vector<wire::Crash> crashes;
    std::vector<std::uint8_t> kinds;
    for (const quarantine::suspect_report& suspect : sent) {
        kinds.push_back(
            suspect.kind == quarantine::suspect_kind::prompt_part ? 1 : 0);
        suspects.emplace_back(
            suspect.request.high,
            suspect.request.low,
            suspect.workspace.value,
            age_ms(suspect.answered_age),
            age_ms(suspect.trial_age),
            static_cast<std::uint32_t>(suspect.crashes.size()));
        for (const quarantine::reported_crash& crash : suspect.crashes)
            crashes.emplace_back(crash.upstream.value, age_ms(crash.age));
    }
    return {builder.CreateVectorOfStructs(suspects),
            builder.CreateVectorOfStructs(crashes),
            builder.CreateVector(kinds)};
}

std::vector<quarantine::suspect_report> read_suspects(const wire::Message& from)
{
    std::vector<quarantine::suspect_report> out;
    if (from.suspects() == nullptr || from.crashes() == nullptr)
        return out;
    flatbuffers::uoffset_t next = 0;
    const auto* kinds = from.suspect_kinds();
    for (const wire::Suspect* suspect : *from.suspects()) {
        quarantine::suspect_report received;
        const auto at = static_cast<flatbuffers::uoffset_t>(out.size());
        if (kinds != nullptr && at < kinds->size() && kinds->Get(at) == 1)
            received.kind = quarantine::suspect_kind::prompt_part;
        received.request = {suspect->request_high(), suspect->request_low()};
        received.workspace.value = suspect->workspace();
        received.answered_age = optional_age(suspect->answered_age_ms());
        received.trial_age = optional_age(suspect->trial_age_ms());
        for (std::uint32_t count = 0;
             count < suspect->crashes() && next < from.crashes()->size();
             ++count, ++next) {
            const wire::Crash* crash = from.crashes()->Get(next);
            received.crashes.push_back(
                {base::upstream_id(crash->upstream()),
                 std::chrono::milliseconds(crash->age_ms())});
        }
        out.push_back(std::move(received));
    }
    return out;
}

wire::SuspectsWanted wire_query_of(const quarantine::suspect_query& sent)
{
    return {sent.after.high, sent.after.low};
}

quarantine::suspect_query suspect_query_of(const wire::SuspectsWanted& from)
{
    return {{from.after_high(), from.after_low()}};
}

wire::SuspectPage wire_page_of(const quarantine::suspect_page& sent)
{
    const page_state state = sent.uninformed ? page_state::uninformed
                             : sent.complete ? page_state::complete
                                             : page_state::more_follow;
    return {sent.after.high,
            sent.after.low,
            sent.last.high,
            sent.last.low,
            static_cast<std::uint32_t>(state),
            sent.pages_to_come};
}

quarantine::suspect_page suspect_page_of(const wire::SuspectPage& from)
{
    const auto state = static_cast<page_state>(from.state());
    return {{from.after_high(), from.after_low()},
            {from.last_high(), from.last_low()},
            state == page_state::complete,
            state == page_state::uninformed,
            from.to_come()};
}

} // namespace greengagedrum::gossip
