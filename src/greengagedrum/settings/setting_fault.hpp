// One thing wrong with the settings that a program was started with.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace greengagedrum::settings
{

// The exit code of a program whose settings are faulty.
inline constexpr int faulty_settings_exit = 2;

struct setting_fault {
    std::string name;    // as it was given: a flag, or an environment variable
    std::string value;   // empty when none was given; "(secret)" for secrets
    std::string problem; // with the bound: "must be an integer, 1 to 100"
};

using setting_faults = std::vector<setting_fault>;

// One line without its line end.
std::string to_string(const setting_fault& fault);

// One line a fault, each with the program's name before it.
std::string fault_report(std::string_view program,
                         std::span<const setting_fault> faults);

} // namespace greengagedrum::settings
