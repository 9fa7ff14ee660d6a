#include <greengagedrum/gossip/flatbuffer_bytes.hpp>
#include <greengagedrum/gossip/gossip_generated.h>
#include <greengagedrum/gossip/stream_version_codec.hpp>

#include <algorithm>

namespace greengagedrum::gossip
{

namespace
{

constexpr const char* file_identifier = "GGSV";

constexpr std::uint8_t stream_version_kind = 6;

// In the order of versions::finding.
enum class finding_kind : std::uint32_t { known, single, unknown, several };

std::optional<versions::finding> finding_of(const wire::VersionAnswer& from)
{
    const base::version_id version(from.version());
    const auto kind = static_cast<finding_kind>(from.what());
    if (kind == finding_kind::unknown)
        return versions::unknown_version{};
    if (kind == finding_kind::several)
        return versions::several_versions{};
    if (version.empty())
        return std::nullopt;
    if (kind == finding_kind::known)
        return versions::known_version{version};
    if (kind == finding_kind::single)
        return versions::single_version{version};
    return std::nullopt;
}

std::optional<versions::message>
records_of(const flatbuffers::Vector<const wire::StreamVersion*>& list)
{
    if (list.size() == 0 || list.size() > max_stream_records)
        return std::nullopt;
    versions::record_list out;
    for (const wire::StreamVersion* one : list) {
        if (one->stream() == 0 || one->version() == 0)
            return std::nullopt;
        out.push_back({versions::stream_id(one->stream()),
                       base::version_id(one->version())});
    }
    return out;
}

std::optional<versions::message> content_of(const wire::StreamVersions& from)
{
    if (const auto* asked = from.question())
        return versions::question{asked->lookup(),
                                  versions::stream_id(asked->stream()),
                                  base::upstream_class_id(asked->service())};
    if (const auto* answered = from.answer()) {
        const auto found = finding_of(*answered);
        if (!found)
            return std::nullopt;
        return versions::answer{answered->lookup(), *found};
    }
    if (from.records() == nullptr)
        return std::nullopt;
    return records_of(*from.records());
}

// Writes one alternative of a message.
class content_writer
{
public:
    content_writer(flatbuffers::FlatBufferBuilder& builder, ipv4_address sender)
        : builder(builder), sender(sender)
    {
    }

    flatbuffers::Offset<wire::StreamVersions>
    operator()(const versions::record_list& sent)
    {
        std::vector<wire::StreamVersion> out;
        const std::size_t count = std::min(sent.size(), max_stream_records);
        for (std::size_t at = 0; at < count; ++at)
            out.emplace_back(sent[at].stream.value, sent[at].version.value);
        const auto records = this->builder.CreateVectorOfStructs(out);
        return wire::CreateStreamVersions(this->builder, this->sender, records);
    }

    flatbuffers::Offset<wire::StreamVersions>
    operator()(const versions::question& sent)
    {
        const wire::VersionQuestion out(
            sent.lookup, sent.stream.value, sent.service.value);
        return wire::CreateStreamVersions(this->builder, this->sender, 0, &out);
    }

    flatbuffers::Offset<wire::StreamVersions>
    operator()(const versions::answer& sent)
    {
        const wire::VersionAnswer out(
            sent.lookup,
            versions::version_of(sent.found).value,
            static_cast<std::uint32_t>(sent.found.index()));
        return wire::CreateStreamVersions(
            this->builder, this->sender, 0, nullptr, &out);
    }

private:
    flatbuffers::FlatBufferBuilder& builder;
    ipv4_address sender;
};

} // namespace

std::string encode(const stream_version_message& sent, ipv4_address recipient)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto content =
        std::visit(content_writer(builder, sent.sender), sent.content);
    wire::MessageBuilder root(builder);
    root.add_address(recipient);
    root.add_kind(stream_version_kind);
    root.add_stream_versions(content);
    builder.Finish(root.Finish(), file_identifier);
    return bytes_of(builder);
}

bool is_stream_version_message(std::string_view bytes)
{
    constexpr std::size_t identifier_end = 8;
    return bytes.size() >= identifier_end &&
           flatbuffers::BufferHasIdentifier(bytes.data(), file_identifier);
}

std::optional<stream_version_message>
decode_stream_version_message(std::string_view bytes)
{
    flatbuffers::Verifier verifier(unsigned_bytes(bytes), bytes.size());
    if (!is_stream_version_message(bytes) ||
        !verifier.VerifyBuffer<wire::Message>(file_identifier))
        return std::nullopt;
    const auto* root = flatbuffers::GetRoot<wire::Message>(bytes.data());
    if (root->kind() != stream_version_kind ||
        root->stream_versions() == nullptr)
        return std::nullopt;
    auto content = content_of(*root->stream_versions());
    if (!content)
        return std::nullopt;
    return stream_version_message{root->stream_versions()->sender(),
                                  std::move(*content)};
}

} // namespace greengagedrum::gossip
