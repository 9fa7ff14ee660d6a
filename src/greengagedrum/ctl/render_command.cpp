#include <greengagedrum/config/check.hpp>
#include <greengagedrum/config/effective_settings.hpp>
#include <greengagedrum/config/parsed_document.hpp>
#include <greengagedrum/ctl/document_folder.hpp>
#include <greengagedrum/ctl/fault_report.hpp>
#include <greengagedrum/ctl/options.hpp>
#include <greengagedrum/ctl/render_command.hpp>

#include <array>
#include <iomanip>
#include <optional>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

struct rendered_workspace {
    config::workspace_document workspace;
    std::vector<config::effective_kind> kinds;
};

// The document `name` of a set without faults; nothing when there is none.
template <class Parsed>
std::optional<Parsed> find(std::span<const config::document> documents,
                           const std::string& name)
{
    config::fault_list none;
    for (const config::document& one : documents) {
        if (one.name != name)
            continue;
        const auto parsed = config::parse_document(one, none);
        return std::get<Parsed>(*parsed);
    }
    return std::nullopt;
}

std::optional<rendered_workspace>
render(std::span<const config::document> documents, const std::string& name)
{
    const auto workspace = find<config::workspace_document>(
        documents, std::string(config::workspace_prefix) + name);
    if (!workspace)
        return std::nullopt;
    const auto from = find<config::request_template>(
        documents,
        std::string(config::template_prefix) + workspace->template_name);
    return rendered_workspace{*workspace,
                              config::effective_settings(*from, *workspace)};
}

void write_text(const rendered_workspace& rendered, std::ostream& to)
{
    constexpr int member_width = 20;
    constexpr int value_width = 26;
    const auto& workspace = rendered.workspace;
    to << "workspace " << workspace.name << ": template "
       << workspace.template_name << ", home " << workspace.home << "\n";
    for (const config::effective_kind& kind : rendered.kinds) {
        to << "\n" << kind.name << "\n";
        for (const config::effective_setting& one : kind.settings) {
            to << "  " << std::left << std::setw(member_width) << one.member
               << std::setw(value_width) << one.value.dump()
               << to_string(one.origin);
            if (!one.parameter.empty())
                to << " " << one.parameter;
            to << "\n";
        }
    }
}

void write_json(const rendered_workspace& rendered, std::ostream& to)
{
    nlohmann::json kinds = nlohmann::json::object();
    for (const config::effective_kind& kind : rendered.kinds) {
        for (const config::effective_setting& one : kind.settings) {
            auto& shown = kinds[kind.name][one.member];
            shown["value"] = one.value;
            shown["origin"] = to_string(one.origin);
            if (!one.parameter.empty())
                shown["parameter"] = one.parameter;
        }
    }
    const nlohmann::json report = {
        {"workspace", rendered.workspace.name},
        {"template", rendered.workspace.template_name},
        {"home", rendered.workspace.home},
        {"kinds", kinds}};
    to << report.dump(json_indent) << "\n";
}

exit_code show(const std::string& name,
               const std::string& folder,
               bool json,
               const output& to)
{
    const auto documents = read_documents(folder);
    if (!documents) {
        to.err << "ggdctl render: " << documents.error() << "\n";
        return exit_code::usage;
    }
    const config::check_result checked = config::check(*documents);
    if (!checked.faults.empty()) {
        print_faults(checked.faults, to.err);
        return exit_code::faults;
    }
    const auto rendered = render(*documents, name);
    if (!rendered) {
        to.err << "ggdctl render: no workspace " << name << " in " << folder
               << "\n";
        return exit_code::usage;
    }
    const auto print = json ? write_json : write_text;
    print(*rendered, to.out);
    return exit_code::good;
}

} // namespace

exit_code run_render(arguments given, const output& to)
{
    int json = 0;
    option_text folder;
    const std::array table = {
        poptOption{"documents",
                   'd',
                   POPT_ARG_STRING,
                   folder.address(),
                   0,
                   "folder that holds the documents",
                   "DIR"},
        poptOption{"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
    };
    const auto options = parse_options({"render", "WORKSPACE"}, table, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (options->operands.size() != 1 || !folder.given()) {
        to.err << "ggdctl render: one WORKSPACE and --documents are needed\n";
        return exit_code::usage;
    }
    return show(options->operands.front(), folder.value(), json != 0, to);
}

} // namespace greengagedrum::ctl
