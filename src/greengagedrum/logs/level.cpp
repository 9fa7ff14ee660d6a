#include <greengagedrum/logs/level.hpp>

#include <array>
#include <cstddef>

namespace greengagedrum::logs
{

namespace
{

constexpr std::array<std::string_view, 4> names = {
    "debug", "info", "warning", "error"};

} // namespace

std::string_view to_string(level value)
{
    return names.at(static_cast<std::size_t>(value));
}

std::optional<level> level_from(std::string_view text)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names.at(i) == text)
            return static_cast<level>(i);
    }
    return std::nullopt;
}

} // namespace greengagedrum::logs
