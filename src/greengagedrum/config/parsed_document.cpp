#include <greengagedrum/config/fleet_parser.hpp>
#include <greengagedrum/config/object_reader.hpp>
#include <greengagedrum/config/parsed_document.hpp>

namespace greengagedrum::config
{

namespace
{

template <class Parsed>
std::optional<parsed_document> widen(std::optional<Parsed> parsed)
{
    if (!parsed)
        return std::nullopt;
    return parsed_document(std::move(*parsed));
}

bool is_named(std::string_view name, std::string_view prefix)
{
    return name.starts_with(prefix) && is_name(name.substr(prefix.size()));
}

} // namespace

std::optional<parsed_document> parse_document(const document& from,
                                              fault_list& faults)
{
    if (from.name == fleet_name)
        return widen(parse_fleet(from.name, from.body, faults));
    if (is_named(from.name, template_prefix))
        return widen(parse_template(from.name, from.body, faults));
    if (is_named(from.name, workspace_prefix))
        return widen(parse_workspace(from.name, from.body, faults));
    add_fault(faults,
              {from.name,
               "",
               "",
               "is not a name of a document:",
               "fleet, template/NAME or workspace/NAME"});
    return std::nullopt;
}

} // namespace greengagedrum::config
