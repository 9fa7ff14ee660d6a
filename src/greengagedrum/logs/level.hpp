// How much a log line matters, the least first.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagedrum::logs
{

enum class level : std::uint8_t { debug, info, warning, error };

std::string_view to_string(level value);
std::optional<level> level_from(std::string_view text);

} // namespace greengagedrum::logs
