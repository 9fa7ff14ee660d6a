#include <greengagedrum/idempotency/key_time.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace greengagedrum::idempotency
{

namespace
{
constexpr std::size_t uuid_length = 36;

bool is_dash_place(std::size_t at)
{
    return at == 8 || at == 13 || at == 18 || at == 23;
}

bool is_hex(char letter)
{
    return (letter >= '0' && letter <= '9') ||
           (letter >= 'a' && letter <= 'f') || (letter >= 'A' && letter <= 'F');
}

bool is_uuid7(std::string_view key)
{
    if (key.size() != uuid_length || key[14] != '7')
        return false;
    for (std::size_t at = 0; at < uuid_length; ++at)
        if (is_dash_place(at) ? key[at] != '-' : !is_hex(key[at]))
            return false;
    return true;
}
} // namespace

std::optional<wall_time> issue_time(std::string_view key)
{
    if (!is_uuid7(key))
        return std::nullopt;
    const std::string stamp =
        std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::uint64_t value = 0;
    std::from_chars(stamp.data(), stamp.data() + stamp.size(), value, 16);
    return wall_time(
        std::chrono::milliseconds(static_cast<std::int64_t>(value)));
}

} // namespace greengagedrum::idempotency
