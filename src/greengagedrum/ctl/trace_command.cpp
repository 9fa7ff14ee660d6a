#include <greengagedrum/ctl/options.hpp>
#include <greengagedrum/ctl/trace_command.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <istream>
#include <ostream>
#include <vector>

namespace greengagedrum::ctl
{

namespace
{

using nlohmann::json;

// One log line about the request.
struct told {
    std::string time;
    std::string source; // what stood before the JSON: often the entry's name
    json fields;
};

std::string trimmed(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Collectors of logs put a time or a name before each line; it is kept.
void read_lines(std::istream& from,
                const std::string& name,
                const std::string& request,
                std::vector<told>& into)
{
    std::string line;
    while (std::getline(from, line)) {
        const std::size_t start = line.find('{');
        if (start == std::string::npos ||
            line.find(request) == std::string::npos)
            continue;
        json fields = json::parse(line.substr(start), nullptr, false);
        // Lines of other programs, or cut off at the file's end.
        if (fields.is_discarded() || fields.value("request", "") != request)
            continue;
        std::string before = trimmed(line.substr(0, start));
        into.push_back({fields.value("time", ""),
                        before.empty() ? name : before,
                        std::move(fields)});
    }
}

void print(const told& one, std::ostream& to)
{
    to << one.time << "  " << one.source << "  "
       << one.fields.value("event", "?");
    for (const auto& [name, value] : one.fields.items()) {
        const bool head = name == "time" || name == "level" || name == "duty" ||
                          name == "event" || name == "request";
        const bool empty =
            value.is_string() && value.get_ref<const std::string&>().empty();
        if (head || empty)
            continue;
        to << "  " << name << "="
           << (value.is_string() ? value.get<std::string>() : value.dump());
    }
    to << "\n";
}

} // namespace

exit_code run_trace(arguments given, const output& to)
{
    const auto options = parse_options({"trace", "ID [FILE...]"}, {}, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (options->operands.empty()) {
        to.err << "ggdctl trace: the id of a request is needed\n";
        return exit_code::usage;
    }
    const std::string& request = options->operands.front();
    std::vector<told> lines;
    if (options->operands.size() == 1)
        read_lines(std::cin, "-", request, lines);
    for (std::size_t at = 1; at < options->operands.size(); ++at) {
        const std::string& name = options->operands[at];
        std::ifstream file(name);
        if (!file) {
            to.err << "ggdctl trace: " << name << " can't be read\n";
            return exit_code::usage;
        }
        read_lines(file, name, request, lines);
    }
    // Entries' clocks differ by less than a request's steps as a rule; lines
    // of one time keep their order.
    std::stable_sort(
        lines.begin(), lines.end(), [](const told& left, const told& right) {
            return left.time < right.time;
        });
    for (const told& one : lines)
        print(one, to.out);
    if (!lines.empty())
        return exit_code::good;
    to.err << "ggdctl trace: no line about " << request << "\n";
    return exit_code::faults;
}

} // namespace greengagedrum::ctl
