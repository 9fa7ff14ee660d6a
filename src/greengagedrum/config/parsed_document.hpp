// A document by its type, from its name and body alone.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/fleet.hpp>
#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/config/template_parser.hpp>
#include <greengagedrum/config/workspace_parser.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace greengagedrum::config
{

inline constexpr std::string_view fleet_name = "fleet";
inline constexpr std::string_view template_prefix = "template/";
inline constexpr std::string_view workspace_prefix = "workspace/";

using parsed_document =
    std::variant<fleet, request_template, workspace_document>;

// Nothing when the document, looked at by itself, has a fault. A pure function
// of name and body: every instance finds the same.
std::optional<parsed_document> parse_document(const document& from,
                                              fault_list& faults);

} // namespace greengagedrum::config
