// A template: kinds of requests, and the parameters that workspaces may set.
//
// A template without faults can be rendered with any values that its own
// parameters allow: every bound of every parameter is tried when it is parsed.
// What the fleet holds is not looked at here (references.hpp).
#pragma once

#include <greengagedrum/config/kind_rules.hpp>
#include <greengagedrum/config/parameter.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::config
{

// What a workspace sets, by name of the parameter.
using parameter_values = std::map<std::string, nlohmann::json, std::less<>>;

struct request_template {
    std::string name;
    std::vector<parameter> parameters;
    std::vector<nlohmann::json> kinds; // as written, parameters not filled in

    // Null when it has no such parameter.
    const parameter* find_parameter(std::string_view wanted) const;
};

// The name in {"parameter": NAME}; nothing when `value` is a literal.
std::optional<std::string> parameter_name(const nlohmann::json& value);

// `kind` with its parameters replaced by `values`, or else their defaults.
nlohmann::json fill_in(const request_template& from,
                       const nlohmann::json& kind,
                       const parameter_values& values);

// Nothing when it has a fault.
std::optional<request_template> parse_template(std::string_view document,
                                               std::string_view text,
                                               fault_list& faults);

} // namespace greengagedrum::config
