// The settings file that the platform writes for each process (TOML).
#pragma once

#include <greengagedrum/entry/settings.hpp>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::platform
{

// The variable that holds the path of the settings file.
inline constexpr const char* settings_variable = "GREENGAGEDRUM_BOOT";
inline constexpr const char* default_settings_path =
    "/etc/greengagedrum/node.toml";

// All faults at once, each with the name of its field; unknown fields are
// ignored, since the platform may add some.
using settings_faults = std::vector<std::string>;

tl::expected<entry::settings, settings_faults>
read_settings(std::string_view text);

tl::expected<entry::settings, settings_faults>
read_settings_file(const std::string& path);

} // namespace greengagedrum::platform
