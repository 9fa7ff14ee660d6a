#include <greengagedrum/base/tier.hpp>

namespace greengagedrum::base
{

namespace
{
constexpr std::array<std::string_view, tier_count> names = {
    "urgent", "interactive", "standard", "bulk"};
} // namespace

std::string_view to_string(tier value)
{
    return names[index_of(value)];
}

std::optional<tier> parse_tier(std::string_view text)
{
    for (const tier value : all_tiers) {
        if (names[index_of(value)] == text)
            return value;
    }
    return std::nullopt;
}

} // namespace greengagedrum::base
