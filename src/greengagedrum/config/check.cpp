#include <greengagedrum/config/check.hpp>
#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/name_registry.hpp>
#include <greengagedrum/config/parsed_document.hpp>
#include <greengagedrum/config/references.hpp>
#include <greengagedrum/config/render.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace greengagedrum::config
{

namespace
{

// One check; sorts the documents by type, then looks at each with the others.
class checking
{
public:
    check_result run(std::span<const document> documents)
    {
        for (const document& one : documents)
            this->take(one);
        if (!this->fleet_given)
            this->fail(std::string(fleet_name), "", "", "is missing");
        this->check_templates();
        for (const workspace_document& workspace : this->workspaces)
            this->check_workspace(workspace);
        check_result result;
        result.faults = std::move(this->faults);
        if (result.faults.empty())
            result.snapshot = this->build();
        return result;
    }

private:
    void take(const document& one)
    {
        if (one.deleted)
            return;
        this->highest = std::max(this->highest, one.revision);
        this->fleet_given = this->fleet_given || one.name == fleet_name;
        const auto outcome = this->names.add(one.name);
        if (outcome != name_registry::outcome::added)
            this->fail(one.name, "", "", problem_of(outcome));
        if (one.name.starts_with(template_prefix))
            this->templates_given.insert(
                one.name.substr(template_prefix.size()));
        auto parsed = parse_document(one, this->faults);
        if (parsed)
            std::visit([this](auto& body) { this->keep(std::move(body)); },
                       *parsed);
    }

    void keep(fleet&& body) { this->fleet_found = std::move(body); }
    void keep(request_template&& body)
    {
        this->templates.insert_or_assign(body.name, std::move(body));
    }
    void keep(workspace_document&& body)
    {
        const auto outcome = this->workspace_names.add(body.name);
        if (outcome == name_registry::outcome::collision)
            this->fail(std::string(workspace_prefix) + body.name,
                       "",
                       "",
                       problem_of(outcome));
        this->workspaces.push_back(std::move(body));
    }

    void check_templates()
    {
        if (!this->fleet_found)
            return;
        for (const auto& [name, one] : this->templates)
            check_template_references(*this->fleet_found, one, this->faults);
    }

    void check_workspace(const workspace_document& workspace)
    {
        const auto found = this->templates.find(workspace.template_name);
        if (found == this->templates.end()) {
            if (!this->templates_given.contains(workspace.template_name))
                this->fail(std::string(workspace_prefix) + workspace.name,
                           "/template",
                           shown(workspace.template_name),
                           "is not a template");
            return; // else the template's own faults are reported
        }
        const fault_list misfits = check_fit(found->second, workspace);
        for (const fault& misfit : misfits)
            add_fault(this->faults, misfit);
        if (misfits.empty() && this->fleet_found)
            check_workspace_references(
                *this->fleet_found, found->second, workspace, this->faults);
    }

    void fail(std::string document,
              std::string pointer,
              std::string value,
              std::string_view problem)
    {
        add_fault(this->faults,
                  {std::move(document),
                   std::move(pointer),
                   std::move(value),
                   std::string(problem),
                   ""});
    }

    snapshot_ptr build() const
    {
        auto built = std::make_shared<snapshot>();
        built->rev = this->highest;
        built->fleet = *this->fleet_found;
        for (const workspace_document& one : this->workspaces)
            built->workspaces.emplace(
                one.name, render(this->templates.at(one.template_name), one));
        return built;
    }

    fault_list faults;
    revision highest = 0;
    bool fleet_given = false;
    std::optional<fleet> fleet_found;
    std::map<std::string, request_template> templates;
    std::set<std::string> templates_given; // also those with faults
    std::vector<workspace_document> workspaces;
    name_registry names;
    name_registry workspace_names;
};

} // namespace

check_result check(std::span<const document> documents)
{
    return checking().run(documents);
}

} // namespace greengagedrum::config
