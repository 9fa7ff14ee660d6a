#include <greengagedrum/relay/tunnel_codec.hpp>
#include <greengagedrum/relay/tunnel_generated.h>

#include <algorithm>

namespace greengagedrum::relay
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t text_most = 200; // bytes of each text

std::string cut_to_size(const std::string& text)
{
    return text.substr(0, text_most);
}

std::string frame_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

template <class Table>
const Table* verified_table(std::string_view frame)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size());
    if (frame.size() > tunnel_frame_most ||
        !verifier.VerifySizePrefixedBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetSizePrefixedRoot<Table>(bytes);
}

std::string text_of(const flatbuffers::String* from)
{
    return from == nullptr ? std::string() : cut_to_size(from->str());
}

} // namespace

std::string_view to_string(tunnel_verdict value)
{
    switch (value) {
    case tunnel_verdict::rejected:
        return "rejected";
    case tunnel_verdict::unreachable:
        return "unreachable";
    case tunnel_verdict::connected:
        return "connected";
    }
    return "unknown";
}

std::string encode(const tunnel_request& sent)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto request = builder.CreateString(cut_to_size(sent.request));
    const auto instance = builder.CreateString(cut_to_size(sent.instance));
    builder.FinishSizePrefixed(wire::CreateTunnelRequest(
        builder, sent.upstream.value, request, instance));
    return frame_of(builder);
}

std::string encode(tunnel_verdict sent)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.FinishSizePrefixed(wire::CreateTunnelReply(
        builder, static_cast<wire::TunnelVerdict>(sent)));
    return frame_of(builder);
}

std::optional<std::size_t> tunnel_frame_size(std::string_view bytes)
{
    if (bytes.size() < length_bytes)
        return std::nullopt;
    return length_bytes + flatbuffers::ReadScalar<std::uint32_t>(bytes.data());
}

std::optional<tunnel_request> decode_tunnel_request(std::string_view frame)
{
    const auto* table = verified_table<wire::TunnelRequest>(frame);
    if (table == nullptr)
        return std::nullopt;
    return tunnel_request{base::upstream_id(table->upstream()),
                          text_of(table->request()),
                          text_of(table->instance())};
}

std::optional<tunnel_verdict> decode_tunnel_verdict(std::string_view frame)
{
    const auto* table = verified_table<wire::TunnelReply>(frame);
    if (table == nullptr)
        return std::nullopt;
    switch (table->verdict()) {
    case wire::TunnelVerdict_Connected:
        return tunnel_verdict::connected;
    case wire::TunnelVerdict_Unreachable:
        return tunnel_verdict::unreachable;
    default:
        return tunnel_verdict::rejected;
    }
}

} // namespace greengagedrum::relay
