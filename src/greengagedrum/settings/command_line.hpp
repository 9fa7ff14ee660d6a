// The flags of a command line, split by popt but not yet read as values.
#pragma once

#include <greengagedrum/settings/parsed_settings.hpp>
#include <greengagedrum/settings/setting.hpp>
#include <greengagedrum/settings/setting_fault.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace greengagedrum::settings
{

struct command_line {
    command wanted = command::run;
    std::vector<std::optional<std::string>> flags; // by place in the table
    std::vector<std::string> arguments;            // those that are not flags
    setting_faults faults;                         // flags that don't exist
};

// A flag given twice counts as given last.
command_line read_command_line(const setting_table& table,
                               std::span<const std::string> arguments);

} // namespace greengagedrum::settings
