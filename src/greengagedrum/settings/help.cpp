#include <greengagedrum/settings/help.hpp>
#include <greengagedrum/settings/read_value.hpp>

namespace greengagedrum::settings
{

namespace
{

constexpr std::string_view standard_flags =
    "\n  --help\n      Print this text.\n"
    "  --version\n      Print the version.\n"
    "  --print-settings\n"
    "      Print each setting's effective value and where it came from.\n"
    "  --check\n      Check the settings and end; 2 when one is faulty.\n";

std::string default_text(const setting& description)
{
    if (description.required)
        return "required";
    if (!description.fallback)
        return "none";
    return std::string(*description.fallback);
}

std::string shown_value(const parsed_value& value)
{
    if (value.from == origin::unset)
        return {};
    if (value.description->secret)
        return "set";
    return to_string(value.value);
}

} // namespace

std::string help_text(const setting_table& table)
{
    std::string text = "Usage: ";
    text.append(table.program).append(" [FLAGS] ").append(table.arguments);
    text.append("\n").append(table.summary).append("\n");
    text.append(standard_flags);
    for (const setting& each : table.settings) {
        text.append("  --").append(each.name).append("\n      ");
        text.append(each.help).append("\n      ");
        text.append(variable_name(table.variable_prefix, each.name));
        text.append("; default: ").append(default_text(each));
        text.append("\n      ").append(bounds_text(each.type)).append("\n");
    }
    return text;
}

std::string values_text(const parsed_settings& settings)
{
    std::string text;
    for (const parsed_value& value : settings.all()) {
        text.append(value.description->name).append(" = ");
        text.append(shown_value(value)).append(" (");
        text.append(to_string(value.from)).append(")\n");
    }
    return text;
}

std::string markdown_table(const setting_table& table)
{
    std::string text = "| flag | variable | default | takes | what it is |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (const setting& each : table.settings) {
        text.append("| `--").append(each.name).append("` | `");
        text.append(variable_name(table.variable_prefix, each.name));
        text.append("` | ").append(default_text(each)).append(" | ");
        text.append(bounds_text(each.type)).append(" | ");
        text.append(each.help).append(" |\n");
    }
    return text;
}

std::optional<int> answer_command(const setting_table& table,
                                  const parsed_settings& settings,
                                  std::ostream& out)
{
    switch (settings.wanted) {
    case command::run:
        return std::nullopt;
    case command::help:
        out << help_text(table);
        return 0;
    case command::version:
        out << table.program << ' ' << table.version << '\n';
        return 0;
    case command::print_settings:
        out << values_text(settings);
        return 0;
    case command::check:
        out << table.program << ": the settings are good\n";
        return 0;
    }
    return std::nullopt;
}

} // namespace greengagedrum::settings
