// The four request tiers, the most urgent first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagedrum::base
{

enum class tier : std::uint8_t { urgent, interactive, standard, bulk };

inline constexpr std::size_t tier_count = 4;
inline constexpr std::array<tier, tier_count> all_tiers = {
    tier::urgent, tier::interactive, tier::standard, tier::bulk};

constexpr std::size_t index_of(tier value)
{
    return static_cast<std::size_t>(value);
}

constexpr bool more_urgent(tier left, tier right)
{
    return left < right;
}

std::string_view to_string(tier value);
std::optional<tier> parse_tier(std::string_view text);

} // namespace greengagedrum::base
