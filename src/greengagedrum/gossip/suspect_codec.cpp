#include <greengagedrum/gossip/suspect_codec.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace greengagedrum::gossip
{

namespace
{

constexpr std::uint32_t never = std::numeric_limits<std::uint32_t>::max();

// Up to 49 days.
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

std::optional<base::duration> age_of(std::uint32_t count)
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
    std::vector<wire::Suspect> requests;
    std::vector<wire::Crash> crashes;
    for (const quarantine::suspect_report& one : sent) {
        requests.emplace_back(one.request.high,
                              one.request.low,
                              one.workspace.value,
                              age_ms(one.answered_age),
                              age_ms(one.trial_age),
                              static_cast<std::uint32_t>(one.crashes.size()));
        for (const quarantine::reported_crash& crash : one.crashes)
            crashes.emplace_back(crash.upstream.value, age_ms(crash.age));
    }
    return {builder.CreateVectorOfStructs(requests),
            builder.CreateVectorOfStructs(crashes)};
}

std::vector<quarantine::suspect_report> read_suspects(const wire::Message& from)
{
    std::vector<quarantine::suspect_report> out;
    if (from.suspects() == nullptr || from.crashes() == nullptr)
        return out;
    flatbuffers::uoffset_t next = 0;
    for (const wire::Suspect* one : *from.suspects()) {
        quarantine::suspect_report received;
        received.request = {one->request_high(), one->request_low()};
        received.workspace.value = one->workspace();
        received.answered_age = age_of(one->answered_age_ms());
        received.trial_age = age_of(one->trial_age_ms());
        for (std::uint32_t count = 0;
             count < one->crashes() && next < from.crashes()->size();
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
