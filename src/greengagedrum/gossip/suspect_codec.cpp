#include <greengagedrum/gossip/suspect_codec.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace greengagedrum::gossip
{

namespace
{

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

} // namespace greengagedrum::gossip
