// One kind of request, from JSON in which every parameter is filled in.
//
// The bounds of a kind's members stand here and nowhere else.
#pragma once

#include <greengagedrum/config/fault.hpp>
#include <greengagedrum/config/kind_rules.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace greengagedrum::config
{

kind_rules parse_kind(std::string_view document,
                      std::string_view pointer,
                      const nlohmann::json& value,
                      fault_list& faults);

} // namespace greengagedrum::config
