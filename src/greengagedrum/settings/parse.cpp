#include <greengagedrum/settings/command_line.hpp>
#include <greengagedrum/settings/parse.hpp>
#include <greengagedrum/settings/read_value.hpp>

#include <cstdlib>
#include <utility>

namespace greengagedrum::settings
{

namespace
{

// Text of a setting before it is read, and where it came from.
struct raw_value {
    std::optional<std::string> text;
    origin from = origin::unset;
};

// An empty variable counts as unset: a supervisor's file can blank it.
raw_value find_raw(const setting& description,
                   std::optional<std::string> flag,
                   std::optional<std::string> variable)
{
    if (flag)
        return {std::move(flag), origin::flag};
    if (variable && !variable->empty())
        return {std::move(variable), origin::environment};
    if (description.fallback)
        return {std::string(*description.fallback), origin::fallback};
    return {};
}

setting_fault value_fault(const setting& description,
                          const std::string& given_as,
                          const std::string& text)
{
    return {given_as,
            description.secret ? "(secret)" : text,
            "must be " + bounds_text(description.type)};
}

class value_reader
{
public:
    value_reader(const setting_table& owner, const environment_lookup& lookup)
        : table(owner), environment(lookup)
    {
    }

    void read(const setting& description, std::optional<std::string> flag)
    {
        const std::string variable =
            variable_name(this->table.variable_prefix, description.name);
        const std::string dashed = "--" + std::string(description.name);
        const raw_value raw =
            find_raw(description, std::move(flag), this->environment(variable));
        if (!raw.text) {
            this->miss(description, dashed + " (" + variable + ")");
            return;
        }
        auto value = read_value(description.type, *raw.text);
        const bool by_variable = raw.from == origin::environment;
        if (value) {
            this->outcome.parsed.add(
                {&description, std::move(*value), raw.from});
            return;
        }
        this->outcome.parsed.add({&description, {}, origin::unset});
        this->outcome.faults.push_back(value_fault(
            description, by_variable ? variable : dashed, *raw.text));
    }

    parse_outcome outcome;

private:
    void miss(const setting& description, const std::string& names)
    {
        this->outcome.parsed.add({&description, {}, origin::unset});
        if (!description.required)
            return;
        this->outcome.faults.push_back(
            {names, {}, "is required: " + bounds_text(description.type)});
    }

    const setting_table& table;
    const environment_lookup& environment;
};

} // namespace

parse_outcome read_settings(const setting_table& table,
                            std::span<const std::string> arguments,
                            const environment_lookup& environment)
{
    command_line line = read_command_line(table, arguments);
    value_reader reader(table, environment);
    reader.outcome.parsed.wanted = line.wanted;
    if (line.wanted == command::help || line.wanted == command::version)
        return std::move(reader.outcome);

    reader.outcome.faults = std::move(line.faults);
    reader.outcome.parsed.arguments = std::move(line.arguments);
    for (std::size_t i = 0; i < table.settings.size(); ++i)
        reader.read(table.settings[i], std::move(line.flags[i]));
    return std::move(reader.outcome);
}

tl::expected<parsed_settings, setting_faults>
parse(const setting_table& table,
      std::span<const std::string> arguments,
      const environment_lookup& environment)
{
    parse_outcome outcome = read_settings(table, arguments, environment);
    if (!outcome.faults.empty())
        return tl::unexpected(std::move(outcome.faults));
    return std::move(outcome.parsed);
}

std::vector<std::string> program_arguments(int argc, const char* const* argv)
{
    if (argc < 2)
        return {};
    return {argv + 1, argv + argc};
}

std::optional<std::string> process_environment(const std::string& variable)
{
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr)
        return std::nullopt;
    return std::string(value);
}

} // namespace greengagedrum::settings
