// The text of one log line: one JSON object, without its line end.
#pragma once

#include <greengagedrum/logs/field.hpp>
#include <greengagedrum/logs/level.hpp>

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace greengagedrum::logs
{

// POSIX writes up to 4,096 bytes to a pipe whole or not at all; the last byte
// is the line end's.
inline constexpr std::size_t line_bytes_max = 4095;

struct line_head {
    std::chrono::system_clock::time_point time;
    logs::level level = level::info;
    std::string_view duty;  // the slice or thread that speaks: "delivery"
    std::string_view event; // what happened, in one word: "request_ended"
};

// Always valid JSON: text is escaped, invalid UTF-8 is replaced by U+FFFD, a
// double that is no number becomes null. A field can't replace one of the
// head. A line above `line_bytes_max` keeps its head and says
// "fields_dropped".
std::string json_line(const line_head& head, std::span<const field> fields);

// RFC 3339 in UTC, to the millisecond: "2026-01-02T03:04:05.678Z".
std::string rfc3339(std::chrono::system_clock::time_point time);

} // namespace greengagedrum::logs
