#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/parsed_document.hpp>
#include <greengagedrum/config/references.hpp>

#include <algorithm>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

struct target_problem {
    std::string member; // of the kind: "class", "model" or "path"
    std::string value;
    std::string text;
    std::string bound;
};

bool holds(const upstream_entry& upstream, const std::string& model)
{
    const auto& models = upstream.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

// What keeps every upstream of the fleet from serving this kind, if anything.
// `kind` is filled in and without faults.
std::optional<target_problem> find_problem(const fleet& in, const json& kind)
{
    const auto class_name = kind.at("class").get<std::string>();
    const base::upstream_class_id wanted(class_name);
    std::vector<const upstream_entry*> members;
    for (const upstream_entry& upstream : in.upstreams) {
        if (upstream.upstream_class == wanted)
            members.push_back(&upstream);
    }
    if (members.empty())
        return target_problem{
            "class", class_name, "has no upstream in the fleet", ""};
    const bool service = members.front()->type == upstream_type::service;
    if (service != kind.contains("path"))
        return target_problem{"class",
                              class_name,
                              service ? "holds services; the kind must give"
                                      : "holds engines; "
                                        "the kind must "
                                        "give",
                              service ? "a path" : "a model"};
    if (service)
        return std::nullopt;
    const auto model = kind.at("model").get<std::string>();
    for (const upstream_entry* member : members) {
        if (holds(*member, model))
            return std::nullopt;
    }
    return target_problem{
        "model", model, "is held by no upstream of the class", class_name};
}

} // namespace

void check_template_references(const fleet& in,
                               const request_template& from,
                               fault_list& faults)
{
    for (std::size_t i = 0; i < from.kinds.size(); ++i) {
        const json kind = fill_in(from, from.kinds[i], {});
        const auto problem = find_problem(in, kind);
        if (!problem)
            continue;
        add_fault(faults,
                  {std::string(template_prefix) + from.name,
                   pointer_to(pointer_to("/kinds", std::to_string(i)),
                              problem->member),
                   shown(problem->value),
                   problem->text,
                   problem->bound});
    }
}

void check_workspace_references(const fleet& in,
                                const request_template& from,
                                const workspace_document& workspace,
                                fault_list& faults)
{
    const std::string document = std::string(workspace_prefix) + workspace.name;
    const base::data_centre_id home(workspace.home);
    const auto found =
        std::find_if(in.data_centres.begin(),
                     in.data_centres.end(),
                     [&](const data_centre& one) { return one.id == home; });
    if (found == in.data_centres.end())
        add_fault(faults,
                  {document,
                   "/home",
                   shown(workspace.home),
                   "is not a data centre of the fleet",
                   ""});
    else if (found->slots.empty())
        add_fault(faults,
                  {document,
                   "/home",
                   shown(workspace.home),
                   "is a data centre without slots",
                   ""});
    for (const json& kind : from.kinds) {
        const json filled = fill_in(from, kind, workspace.parameters);
        if (filled == fill_in(from, kind, {}))
            continue; // the same as the template's own
        const auto problem = find_problem(in, filled);
        // A fault of the template itself is reported there.
        if (!problem || find_problem(in, fill_in(from, kind, {})))
            continue;
        add_fault(faults,
                  {document,
                   "/parameters",
                   shown(problem->value),
                   problem->text,
                   problem->bound});
    }
}

} // namespace greengagedrum::config
