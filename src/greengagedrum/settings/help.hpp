// What a program prints about its settings.
#pragma once

#include <greengagedrum/settings/parsed_settings.hpp>
#include <greengagedrum/settings/setting.hpp>

#include <optional>
#include <ostream>
#include <string>

namespace greengagedrum::settings
{

// The text of --help: every flag with its variable, default and bounds.
std::string help_text(const setting_table& table);

// The text of --print-settings: one "name = value (origin)" a line. A secret
// shows as "set".
std::string values_text(const parsed_settings& settings);

// The same table for the operators' page, in Markdown.
std::string markdown_table(const setting_table& table);

// Does what --help, --version, --print-settings or --check ask for. The exit
// code to end with, or empty when the program is to run.
std::optional<int> answer_command(const setting_table& table,
                                  const parsed_settings& settings,
                                  std::ostream& out);

} // namespace greengagedrum::settings
