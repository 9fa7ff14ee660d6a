// Prints the faults that a check found.
#pragma once

#include <greengagedrum/config/fault.hpp>

#include <nlohmann/json.hpp>

#include <iosfwd>

namespace greengagedrum::ctl
{

// One line each.
void print_faults(const config::fault_list& faults, std::ostream& to);

nlohmann::json to_json(const config::fault_list& faults);

} // namespace greengagedrum::ctl
