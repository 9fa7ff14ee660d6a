#include <greengagedrum/ctl/check_command.hpp>
#include <greengagedrum/ctl/command.hpp>
#include <greengagedrum/ctl/drain_command.hpp>
#include <greengagedrum/ctl/explain_command.hpp>
#include <greengagedrum/ctl/losses_command.hpp>
#include <greengagedrum/ctl/render_command.hpp>
#include <greengagedrum/ctl/status_command.hpp>
#include <greengagedrum/ctl/trace_command.hpp>

#include <array>
#include <iomanip>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

constexpr std::string_view version = "0.1.0";

constexpr std::array commands = {
    command{"check", "check documents before they are published", run_check},
    command{"render", "show a workspace's settings in force", run_render},
    command{"explain", "show where a kind of request may go", run_explain},
    command{"status", "compare daemons by their admin ports", run_status},
    command{"trace", "show a request's life from log lines", run_trace},
    command{"losses", "account for requests that were not in time", run_losses},
    command{"drain", "tell a daemon to finish its work and end", run_drain},
};

void print_usage(std::ostream& to)
{
    constexpr int name_width = 10;
    to << "Usage: ggdctl COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const command& one : commands)
        to << "  " << std::left << std::setw(name_width) << one.name
           << one.summary << "\n";
    to << "\n`ggdctl COMMAND --help` shows the arguments of a command.\n";
}

} // namespace

std::span<const command> all_commands()
{
    return commands;
}

exit_code run(arguments given, const output& to)
{
    if (given.empty()) {
        print_usage(to.err);
        return exit_code::usage;
    }
    const std::string& first = given.front();
    if (first == "--help" || first == "-?") {
        print_usage(to.out);
        return exit_code::good;
    }
    if (first == "--version") {
        to.out << "ggdctl " << version << "\n";
        return exit_code::good;
    }
    for (const command& one : commands) {
        if (one.name == first)
            return one.run(given.subspan(1), to);
    }
    to.err << "ggdctl: unknown command '" << first << "'\n";
    print_usage(to.err);
    return exit_code::usage;
}

} // namespace greengagedrum::ctl
