// A workspace: which template it uses, its home, its token, its parameters.
//
// Whether the template and the home exist, and whether the template takes
// these parameters, is not looked at here (render.hpp, references.hpp).
#pragma once

#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/config/template_parser.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace greengagedrum::config
{

struct workspace_document {
    std::string name;
    std::string template_name;
    std::string home; // name of a data centre
    sha256_digest token_digest{};
    parameter_values parameters;
};

// Nothing when it has a fault.
std::optional<workspace_document> parse_workspace(std::string_view document,
                                                  std::string_view text,
                                                  fault_list& faults);

} // namespace greengagedrum::config
