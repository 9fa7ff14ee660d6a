#include <greengagedrum/ctl/fault_report.hpp>

#include <ostream>

namespace greengagedrum::ctl
{

void print_faults(const config::fault_list& faults, std::ostream& to)
{
    for (const config::fault& one : faults)
        to << config::to_text(one) << "\n";
}

nlohmann::json to_json(const config::fault_list& faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const config::fault& one : faults)
        list.push_back({{"document", one.document},
                        {"pointer", one.pointer},
                        {"value", one.value},
                        {"problem", one.problem},
                        {"bound", one.bound},
                        {"text", config::to_text(one)}});
    return list;
}

} // namespace greengagedrum::ctl
