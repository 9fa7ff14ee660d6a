// Reads a program's settings from its arguments and environment.
//
// A flag goes before the environment variable of the same name, and that
// before the default. Nothing is read from disk. The flags --help, --version,
// --print-settings and --check belong to every table.
#pragma once

#include <greengagedrum/settings/parsed_settings.hpp>
#include <greengagedrum/settings/setting.hpp>
#include <greengagedrum/settings/setting_fault.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace greengagedrum::settings
{

// Empty when there is no such variable.
using environment_lookup =
    std::function<std::optional<std::string>(const std::string& variable)>;

// Values and faults side by side: a faulty value is unset in `parsed`, so that
// the table's owner can check relations of the others and add to the faults.
struct parse_outcome {
    parsed_settings parsed;
    setting_faults faults;
};

// `arguments` are without the program's own name. With --help or --version
// the values are not looked at and nothing is a fault.
parse_outcome read_settings(const setting_table& table,
                            std::span<const std::string> arguments,
                            const environment_lookup& environment);

// The same for a table without relations; all faults are returned at once.
tl::expected<parsed_settings, setting_faults>
parse(const setting_table& table,
      std::span<const std::string> arguments,
      const environment_lookup& environment);

// The arguments of main without the program's name.
std::vector<std::string> program_arguments(int argc, const char* const* argv);

// The environment of this process.
std::optional<std::string> process_environment(const std::string& variable);

} // namespace greengagedrum::settings
