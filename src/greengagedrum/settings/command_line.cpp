#include <greengagedrum/settings/command_line.hpp>

#include <popt.h>

#include <cstdlib>
#include <memory>

namespace greengagedrum::settings
{

namespace
{

using context_ptr = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
using argument_ptr = std::unique_ptr<char, decltype(&std::free)>;

struct command_flag {
    const char* name;
    command wanted;
};

constexpr command_flag command_flags[] = {
    {"help", command::help},
    {"version", command::version},
    {"print-settings", command::print_settings},
    {"check", command::check},
};

// popt reports an option by a number above zero: commands have the low ones,
// settings follow by their place in the table.
constexpr int first_command = 1;
constexpr int first_setting = 100;

// popt's option table; it owns the names, which popt wants ended by a zero.
class option_table
{
public:
    explicit option_table(std::span<const setting> settings)
    {
        this->names.reserve(settings.size());
        int value = first_command;
        for (const command_flag& flag : command_flags)
            this->add(flag.name, POPT_ARG_NONE, value++);
        value = first_setting;
        for (const setting& each : settings) {
            this->names.emplace_back(each.name);
            const bool bare = std::holds_alternative<switch_type>(each.type);
            this->add(this->names.back().c_str(),
                      bare ? POPT_ARG_NONE : POPT_ARG_STRING,
                      value++);
        }
        this->options.push_back(poptOption POPT_TABLEEND);
    }

    const poptOption* data() const { return this->options.data(); }

private:
    void add(const char* name, unsigned int argument, int value)
    {
        this->options.push_back(
            {name, '\0', argument, nullptr, value, nullptr, nullptr});
    }

    std::vector<std::string> names;
    std::vector<poptOption> options;
};

// A mistyped flag of a secret must not show the secret: only what stands
// before '=' is named.
setting_fault popt_fault(poptContext context, int error)
{
    const char* bad = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    std::string name = bad == nullptr ? "" : bad;
    name = name.substr(0, name.find('='));
    if (error == POPT_ERROR_BADOPT)
        return {name, {}, "no such flag; --help lists them"};
    if (error == POPT_ERROR_NOARG)
        return {name, {}, "needs a value"};
    return {name, {}, poptStrerror(error)};
}

void take_flag(command_line& line, poptContext context, int option)
{
    if (option < first_setting) {
        line.wanted = command_flags[option - first_command].wanted;
        return;
    }
    const argument_ptr text(poptGetOptArg(context), &std::free);
    const auto place = static_cast<std::size_t>(option - first_setting);
    line.flags[place] = text ? text.get() : "true";
}

// An argument that follows an unknown flag may be the value of a mistyped
// secret, so then none is shown.
void refuse_arguments(command_line& line)
{
    const bool show = line.faults.empty();
    for (const std::string& argument : line.arguments)
        line.faults.push_back(
            {"argument", show ? argument : "", "is not a flag"});
}

} // namespace

command_line read_command_line(const setting_table& table,
                               std::span<const std::string> arguments)
{
    command_line line;
    line.flags.resize(table.settings.size());
    std::vector<const char*> pointers;
    for (const std::string& argument : arguments)
        pointers.push_back(argument.c_str());
    pointers.push_back(nullptr);

    const option_table options(table.settings);
    const context_ptr context(poptGetContext(nullptr,
                                             static_cast<int>(arguments.size()),
                                             pointers.data(),
                                             options.data(),
                                             POPT_CONTEXT_KEEP_FIRST),
                              &poptFreeContext);
    int option = poptGetNextOpt(context.get());
    while (option != -1) {
        if (option > 0)
            take_flag(line, context.get(), option);
        else
            line.faults.push_back(popt_fault(context.get(), option));
        option = poptGetNextOpt(context.get());
    }
    const char** rest = poptGetArgs(context.get());
    for (; rest != nullptr && *rest != nullptr; ++rest)
        line.arguments.emplace_back(*rest);
    if (table.arguments.empty())
        refuse_arguments(line);
    return line;
}

} // namespace greengagedrum::settings
