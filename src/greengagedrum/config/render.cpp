#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/kind_parser.hpp>
#include <greengagedrum/config/parsed_document.hpp>
#include <greengagedrum/config/render.hpp>

namespace greengagedrum::config
{

fault_list check_fit(const request_template& from,
                     const workspace_document& workspace)
{
    fault_list faults;
    const std::string document = std::string(workspace_prefix) + workspace.name;
    for (const auto& [name, value] : workspace.parameters) {
        fault where{document, pointer_to("/parameters", name), "", "", ""};
        const parameter* declared = from.find_parameter(name);
        if (declared != nullptr) {
            check_value(*declared, value, where, faults);
            continue;
        }
        where.value = shown(value);
        where.problem = "is for no parameter of";
        where.bound = std::string(template_prefix) + from.name;
        add_fault(faults, where);
    }
    return faults;
}

workspace_rules render(const request_template& from,
                       const workspace_document& workspace)
{
    workspace_rules rules;
    rules.name = workspace.name;
    rules.id = base::workspace_id(workspace.name);
    rules.home = base::data_centre_id(workspace.home);
    rules.token_digest = workspace.token_digest;
    fault_list none; // a template without faults renders without any
    for (const nlohmann::json& kind : from.kinds) {
        const auto filled = fill_in(from, kind, workspace.parameters);
        rules.kinds.push_back(parse_kind(workspace.name, "", filled, none));
    }
    return rules;
}

} // namespace greengagedrum::config
