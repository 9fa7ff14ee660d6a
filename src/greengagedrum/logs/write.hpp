// Structured log lines: JSON, one object a line, on standard error.
//
// What callers send stays out of the log: no body, prompt, answer, bearer
// token, ticket, idempotency key or peer key is ever a field. So there is no
// function here that takes a request, a header or a whole message; a line is
// made of chosen names and numbers. Free text is for messages of our own or
// of a library, never of a caller.
#pragma once

#include <greengagedrum/logs/field.hpp>
#include <greengagedrum/logs/level.hpp>

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace greengagedrum::logs
{

// Names of fields that several duties write; a line about one request has
// the first three.
inline constexpr std::string_view workspace_field = "workspace";
inline constexpr std::string_view kind_field = "kind";
inline constexpr std::string_view request_field = "request";

// False when a line of this level would go nowhere: one relaxed atomic load.
// Ask it before work that only serves a line.
bool enabled(level value);

// Queues one line. Never blocks on the reader of standard error and never
// throws: a line that finds the queue full is dropped and counted. Without an
// `output` it does nothing. `duty` is the slice that speaks, `event` names
// what happened in one word: "request_ended".
void write(level value,
           std::string_view duty,
           std::string_view event,
           std::initializer_list<field> fields = {}) noexcept;

// Lines lost since the output began; see `output`.
std::uint64_t dropped_lines();

// The least level that is written; may change while the program runs.
void set_level(level value);
level current_level();

} // namespace greengagedrum::logs
