// What each kind of a workspace comes to, and where each setting came from.
//
// For people (`ggdctl render`); decisions use kind_rules.
#pragma once

#include <greengagedrum/config/template_parser.hpp>
#include <greengagedrum/config/workspace_parser.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::config
{

enum class setting_origin : std::uint8_t {
    literal,             // written in the template's kind
    parameter_default,   // the template's default of a parameter
    workspace_parameter, // a parameter that the workspace sets
    built_in,            // given nowhere
};

std::string_view to_string(setting_origin value);

struct effective_setting {
    std::string member;
    nlohmann::json value;
    setting_origin origin = setting_origin::built_in;
    std::string parameter; // with the two origins of parameters
};

struct effective_kind {
    std::string name;
    std::vector<effective_setting> settings;
};

// The two must fit (render.hpp).
std::vector<effective_kind>
effective_settings(const request_template& from,
                   const workspace_document& workspace);

} // namespace greengagedrum::config
