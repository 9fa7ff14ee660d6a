// The settings of greengagedrum-entry that are ours; what its instance is comes
// from the platform's settings file.
#pragma once

#include <greengagedrum/logs/level.hpp>
#include <greengagedrum/settings/parse.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace greengagedrum::settings
{

struct entry_options {
    // Empty: the path that the platform names.
    std::optional<std::string> settings_file;
    logs::level log_level = logs::level::info;
    std::uint16_t metrics_port = 0;
};

struct entry_start {
    parsed_settings parsed; // for `answer_command`
    entry_options values;   // defaults when --help or --version is wanted
};

const setting_table& entry_table();

// `arguments` are without the program's name. All faults come at once.
tl::expected<entry_start, setting_faults>
parse_entry(std::span<const std::string> arguments,
            const environment_lookup& environment);

} // namespace greengagedrum::settings
