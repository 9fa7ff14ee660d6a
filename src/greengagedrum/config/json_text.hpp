// From a document's text to a JSON object, within bounds.
#pragma once

#include <greengagedrum/config/fault.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace greengagedrum::config
{

// What one value of the platform's service may hold.
inline constexpr std::size_t document_bytes_max = 1U << 20U;

// Deeper than any document of ours needs.
inline constexpr int document_depth_max = 16;

// The object in `text`; nothing, with its faults added, when it is too long or
// too deep, is no JSON object, or names one member twice (the library would
// take the last in silence).
std::optional<nlohmann::json> parse_object(std::string_view document,
                                           std::string_view text,
                                           fault_list& faults);

// The value as JSON text of at most 80 bytes or so, for a fault.
std::string shown(const nlohmann::json& value);

} // namespace greengagedrum::config
