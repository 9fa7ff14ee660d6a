#include <greengagedrum/gossip/rate_limit_codec.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengagedrum::gossip
{

rate_limit_offset
write_rate_limits(flatbuffers::FlatBufferBuilder& builder,
                  std::span<const traffic::announced_limit> sent)
{
    if (sent.empty())
        return {};
    std::vector<wire::RateLimit> out;
    for (const traffic::announced_limit& one : sent) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(one.age);
        const auto age_ms = std::clamp<std::int64_t>(
            age.count(), 0, std::numeric_limits<std::uint32_t>::max());
        out.emplace_back(one.upstream.value,
                         one.per_second,
                         static_cast<std::uint32_t>(age_ms));
    }
    return builder.CreateVectorOfStructs(out);
}

std::vector<traffic::announced_limit>
read_rate_limits(const wire::Message& from)
{
    std::vector<traffic::announced_limit> out;
    if (from.rate_limits() == nullptr)
        return out;
    for (const wire::RateLimit* one : *from.rate_limits()) {
        if (!std::isfinite(one->per_second()) || one->per_second() < 0)
            continue;
        out.push_back({base::upstream_id(one->upstream()),
                       one->per_second(),
                       std::chrono::milliseconds(one->age_ms())});
    }
    return out;
}

} // namespace greengagedrum::gossip
