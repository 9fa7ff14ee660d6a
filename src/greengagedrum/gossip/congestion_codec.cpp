#include <greengagedrum/gossip/congestion_codec.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
write_known_congestion(flatbuffers::FlatBufferBuilder& builder,
                       const message& sent)
{
    std::vector<std::uint8_t> out;
    for (const known_entry& listed : sent.known_entries)
        out.push_back(listed.congested ? 1 : 0);
    if (std::find(out.begin(), out.end(), 1) == out.end())
        return {};
    return builder.CreateVector(out);
}

void read_congestion(const wire::Message& from, message& out)
{
    out.congested = from.congested();
    out.link_bytes_per_second = from.link_bytes_per_second();
    const auto* list = from.known_congested();
    if (list == nullptr)
        return;
    const std::size_t count =
        std::min<std::size_t>(list->size(), out.known_entries.size());
    for (std::size_t at = 0; at < count; ++at)
        out.known_entries[at].congested =
            list->Get(static_cast<flatbuffers::uoffset_t>(at)) != 0;
}

} // namespace greengagedrum::gossip
