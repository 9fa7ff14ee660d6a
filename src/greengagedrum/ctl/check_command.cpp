#include <greengagedrum/config/check.hpp>
#include <greengagedrum/ctl/check_command.hpp>
#include <greengagedrum/ctl/document_folder.hpp>
#include <greengagedrum/ctl/fault_report.hpp>
#include <greengagedrum/ctl/options.hpp>

#include <array>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

void print_json(const config::check_result& result,
                std::size_t documents,
                std::ostream& to)
{
    const nlohmann::json report = {{"good", result.faults.empty()},
                                   {"documents", documents},
                                   {"faults", to_json(result.faults)}};
    to << report.dump(json_indent) << "\n";
}

void print_text(const config::check_result& result,
                std::size_t documents,
                std::ostream& to)
{
    print_faults(result.faults, to);
    to << documents << " documents, " << result.faults.size() << " faults\n";
}

} // namespace

exit_code run_check(arguments given, const output& to)
{
    int json = 0;
    const std::array table = {poptOption{
        "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr}};
    const auto options = parse_options({"check", "DIR"}, table, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (options->operands.size() != 1) {
        to.err << "ggdctl check: one DIR is needed\n";
        return exit_code::usage;
    }
    const auto documents = read_documents(options->operands.front());
    if (!documents) {
        to.err << "ggdctl check: " << documents.error() << "\n";
        return exit_code::usage;
    }
    const config::check_result result = config::check(*documents);
    const auto print = json != 0 ? print_json : print_text;
    print(result, documents->size(), to.out);
    return result.faults.empty() ? exit_code::good : exit_code::faults;
}

} // namespace greengagedrum::ctl
