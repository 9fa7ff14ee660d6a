#include <greengagedrum/ctl/admin_client.hpp>
#include <greengagedrum/ctl/drain_command.hpp>
#include <greengagedrum/ctl/options.hpp>

#include <ostream>

namespace greengagedrum::ctl
{

exit_code run_drain(arguments given, const output& to)
{
    const auto options = parse_options({"drain", "ADMIN_ADDRESS"}, {}, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (options->operands.size() != 1) {
        to.err << "ggdctl drain: one ADMIN_ADDRESS is needed\n";
        return exit_code::usage;
    }
    const std::string& text = options->operands.front();
    const auto address = base::parse_endpoint(text);
    if (!address) {
        to.err << "ggdctl drain: " << text << " is no IP:port\n";
        return exit_code::usage;
    }
    const auto answer = ask_admin(*address, "POST", "/drain");
    if (!answer) {
        to.err << "ggdctl drain: " << text << ": " << answer.error() << "\n";
        return exit_code::faults;
    }
    to.out << text << " " << *answer;
    return exit_code::good;
}

} // namespace greengagedrum::ctl
