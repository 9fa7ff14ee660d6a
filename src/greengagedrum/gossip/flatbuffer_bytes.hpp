// Conversions between FlatBuffers and the standard library's strings.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace greengagedrum::gossip
{

inline std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

inline const std::uint8_t* unsigned_bytes(std::string_view bytes)
{
    return reinterpret_cast<const std::uint8_t*>(bytes.data());
}

inline std::string string_of(const flatbuffers::String* from)
{
    return from == nullptr ? std::string() : from->str();
}

} // namespace greengagedrum::gossip
