#include <greengagedrum/config/effective_settings.hpp>
#include <greengagedrum/config/kind_rules.hpp>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

// Members that a kind may leave out, with what then holds.
json built_in_settings()
{
    const kind_rules rules;
    return {{"preemptible", rules.preemptible},
            {"overflow", rules.overflow},
            {"max_in_flight", rules.max_in_flight},
            {"tokens_per_second", rules.tokens_per_second},
            {"answer_bytes_max", rules.answer_bytes_max}};
}

effective_setting setting_of(const std::string& member,
                             const json& written,
                             const json& filled,
                             const parameter_values& values)
{
    const auto used = parameter_name(written);
    if (!used)
        return {member, filled, setting_origin::literal, ""};
    const auto origin = values.contains(*used)
                            ? setting_origin::workspace_parameter
                            : setting_origin::parameter_default;
    return {member, filled, origin, *used};
}

effective_kind kind_of(const request_template& from,
                       const json& written,
                       const parameter_values& values)
{
    const json filled = fill_in(from, written, values);
    effective_kind kind;
    kind.name = filled.at("name").get<std::string>();
    for (const auto& [member, value] : written.items()) {
        if (member != "name")
            kind.settings.push_back(
                setting_of(member, value, filled.at(member), values));
    }
    const json built_in = built_in_settings();
    for (const auto& [member, value] : built_in.items()) {
        if (!written.contains(member))
            kind.settings.push_back(
                {member, value, setting_origin::built_in, ""});
    }
    return kind;
}

} // namespace

std::string_view to_string(setting_origin value)
{
    switch (value) {
    case setting_origin::literal:
        return "literal";
    case setting_origin::parameter_default:
        return "parameter default";
    case setting_origin::workspace_parameter:
        return "workspace parameter";
    case setting_origin::built_in:
        return "built-in default";
    }
    return "unknown";
}

std::vector<effective_kind>
effective_settings(const request_template& from,
                   const workspace_document& workspace)
{
    std::vector<effective_kind> kinds;
    kinds.reserve(from.kinds.size());
    for (const json& written : from.kinds)
        kinds.push_back(kind_of(from, written, workspace.parameters));
    return kinds;
}

} // namespace greengagedrum::config
