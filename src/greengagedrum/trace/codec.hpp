// Trace lines: one JSON object a line.
//
//   {"trace": 1, "options": {...}}                 the header, first
//   {"story": "..."}                               for people
//   {"at_us": T, "event": "TYPE", members}         an event and its instant
//   {"action": "TYPE", members}                    taken by the event before
//   {"at_ms": T, "expect": {...}}                  a stated outcome
//   {"at_ms": T, "react": {...}}                   how upstreams behave from T
//
// Ids are "#" and 16 hexadecimal digits; a reader hashes a name. Bodies of
// answers are never written, only their length and digest.
#pragma once

#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/delivery/scheduler.hpp>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <string>

namespace greengagedrum::trace
{

inline constexpr int format_version = 1;

template <class Value>
using read_result = tl::expected<Value, std::string>; // or what is wrong

nlohmann::json to_json(const delivery::event& what);
nlohmann::json to_json(const delivery::action& what);
nlohmann::json to_json(const delivery::scheduler_options& options);

read_result<delivery::event> event_from(const nlohmann::json& line);
read_result<delivery::action> action_from(const nlohmann::json& line);
read_result<delivery::scheduler_options>
options_from(const nlohmann::json& value);

// The line's `at_us` or `at_ms`.
read_result<base::instant> instant_of(const nlohmann::json& line);

} // namespace greengagedrum::trace
