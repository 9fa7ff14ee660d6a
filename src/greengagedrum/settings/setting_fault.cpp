#include <greengagedrum/settings/setting_fault.hpp>

namespace greengagedrum::settings
{

std::string to_string(const setting_fault& fault)
{
    std::string line = fault.name;
    if (!fault.value.empty())
        line += " '" + fault.value + "'";
    return line + ": " + fault.problem;
}

std::string fault_report(std::string_view program,
                         std::span<const setting_fault> faults)
{
    std::string report;
    for (const setting_fault& fault : faults)
        report.append(program).append(": ").append(to_string(fault)) += '\n';
    return report;
}

} // namespace greengagedrum::settings
