// Reads one value from text by its type.
#pragma once

#include <greengagedrum/settings/setting.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::settings
{

// Empty when `text` is not of the type or is out of its bounds; what would
// have been taken is `bounds_text(type)`.
std::optional<setting_value> read_value(const setting_type& type,
                                        std::string_view text);

// The value as a person would have written it; empty for monostate.
std::string to_string(const setting_value& value);

} // namespace greengagedrum::settings
