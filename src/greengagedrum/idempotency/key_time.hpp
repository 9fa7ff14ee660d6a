// Reads the time at which a caller made its key, when the key tells it.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace greengagedrum::idempotency
{

using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// The millisecond stamp of a UUIDv7 (RFC 9562) in its usual text form of 36
// characters; nothing for any other key.
std::optional<wall_time> issue_time(std::string_view key);

} // namespace greengagedrum::idempotency
