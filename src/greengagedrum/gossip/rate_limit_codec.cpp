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

flatbuffers::Offset<flatbuffers::Vector<const wire::LimitNeed*>>
write_limit_needs(flatbuffers::FlatBufferBuilder& builder,
                  std::span<const traffic::limit_need> sent)
{
    if (sent.empty())
        return {};
    std::vector<wire::LimitNeed> out;
    for (const traffic::limit_need& one : sent)
        out.emplace_back(one.service.value, one.requests);
    return builder.CreateVectorOfStructs(out);
}

std::vector<traffic::limit_need> read_limit_needs(const wire::Message& from)
{
    std::vector<traffic::limit_need> out;
    if (from.limit_needs() == nullptr)
        return out;
    for (const wire::LimitNeed* one : *from.limit_needs())
        out.push_back(
            {base::upstream_class_id(one->service()), one->requests()});
    return out;
}

flatbuffers::Offset<wire::LimitGrant>
write_limit_grant(flatbuffers::FlatBufferBuilder& builder,
                  const traffic::limit_grant& sent)
{
    if (sent.permits.empty())
        return {};
    std::vector<wire::LimitPermit> permits;
    for (const traffic::limit_permit& one : sent.permits) {
        const auto lifetime =
            std::chrono::duration_cast<std::chrono::milliseconds>(one.lifetime);
        permits.emplace_back(one.upstream.value,
                             one.requests,
                             static_cast<std::uint32_t>(
                                 std::max<std::int64_t>(0, lifetime.count())));
    }
    return wire::CreateLimitGrant(builder,
                                  sent.receiver.value,
                                  sent.need_number,
                                  builder.CreateVectorOfStructs(permits));
}

traffic::limit_grant read_limit_grant(const wire::Message& from)
{
    traffic::limit_grant out;
    const wire::LimitGrant* grant = from.limit_grant();
    if (grant == nullptr || grant->permits() == nullptr)
        return out;
    out.giver.value = from.life();
    out.number = from.sequence();
    out.receiver.value = grant->receiver_life();
    out.need_number = grant->need_sequence();
    for (const wire::LimitPermit* one : *grant->permits())
        out.permits.push_back({base::upstream_id(one->upstream()),
                               one->requests(),
                               std::chrono::milliseconds(one->lifetime_ms())});
    return out;
}

} // namespace greengagedrum::gossip
