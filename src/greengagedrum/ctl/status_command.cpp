#include <greengagedrum/ctl/admin_client.hpp>
#include <greengagedrum/ctl/options.hpp>
#include <greengagedrum/ctl/status_command.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

using nlohmann::json;

constexpr int address_width = 22;
constexpr int column_width = 15;

constexpr std::array columns = {"instance",
                                "data_centre",
                                "state",
                                "config_revision",
                                "list_revision",
                                "config_age_ms",
                                "watching",
                                "in_flight",
                                "waiting",
                                "answered",
                                "not_run",
                                "may_have_run"};

struct seen_daemon {
    std::string address;
    json status; // null when it gave no answer
    std::string error;
    bool behind_config = false;
    bool behind_list = false;

    bool good() const
    {
        return this->error.empty() && !this->behind_config &&
               !this->behind_list && this->status["refused"].empty();
    }
};

seen_daemon look_at(const std::string& text)
{
    seen_daemon out;
    out.address = text;
    const auto answer =
        ask_admin(base::parse_endpoint_or_unusable(text), "GET", "/status");
    if (!answer) {
        out.error = answer.error();
        return out;
    }
    out.status = json::parse(*answer, nullptr, false);
    const bool readable =
        out.status.is_object() && out.status.contains("config_revision") &&
        out.status.contains("list_revision") && out.status.contains("refused");
    if (!readable) {
        out.status = nullptr;
        out.error = "its status can't be read";
    }
    return out;
}

std::uint64_t number(const seen_daemon& one, const char* name)
{
    if (!one.error.empty() || !one.status[name].is_number_unsigned())
        return 0;
    return one.status[name].get<std::uint64_t>();
}

void mark_behind(std::vector<seen_daemon>& all)
{
    std::uint64_t config = 0;
    std::uint64_t list = 0;
    for (const seen_daemon& one : all) {
        config = std::max(config, number(one, "config_revision"));
        list = std::max(list, number(one, "list_revision"));
    }
    for (seen_daemon& one : all) {
        if (!one.error.empty())
            continue;
        one.behind_config = number(one, "config_revision") < config;
        one.behind_list = number(one, "list_revision") < list;
    }
}

std::string state_of(const json& status)
{
    if (status.value("stopping", false))
        return "stopping";
    return status.value("ready", false) ? "ready" : "not ready";
}

std::string cell(const seen_daemon& one, const std::string& name)
{
    if (name == "state")
        return state_of(one.status);
    if (name == "watching") {
        const json spread = one.status.value("spread", json::object());
        return spread.value(name, json()).dump();
    }
    const json value = one.status.value(name, json());
    std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    const bool marked = (name == "config_revision" && one.behind_config) ||
                        (name == "list_revision" && one.behind_list);
    return marked ? text + " *" : text;
}

std::string first_fault(const json& refused)
{
    const json faults = refused.value("faults", json::array());
    if (faults.empty() || !faults.front().is_string())
        return "";
    return ": " + faults.front().get<std::string>();
}

void print_line(const seen_daemon& one, std::ostream& to)
{
    to << std::left << std::setw(address_width) << one.address;
    if (!one.error.empty()) {
        to << "no answer: " << one.error << "\n";
        return;
    }
    for (const char* name : columns)
        to << std::setw(column_width) << cell(one, name) << " ";
    to << "\n";
    for (const json& refused : one.status["refused"])
        to << "  refused: " << refused.value("document", "") << " revision "
           << refused.value("revision", json()).dump() << first_fault(refused)
           << "\n";
    for (const json& warning : one.status.value("warnings", json::array()))
        to << "  warning: " << warning.get<std::string>() << "\n";
}

void write_status_text(const std::vector<seen_daemon>& all, std::ostream& to)
{
    to << std::left << std::setw(address_width) << "address";
    for (const char* name : columns)
        to << std::setw(column_width) << name << " ";
    to << "\n";
    bool marked = false;
    for (const seen_daemon& one : all) {
        print_line(one, to);
        marked = marked || one.behind_config || one.behind_list;
    }
    if (marked)
        to << "* behind the highest of these daemons\n";
}

void write_status_json(const std::vector<seen_daemon>& all, std::ostream& to)
{
    json list = json::array();
    for (const seen_daemon& one : all) {
        json line = {{"address", one.address}, {"good", one.good()}};
        if (one.error.empty()) {
            line["status"] = one.status;
            line["behind_config"] = one.behind_config;
            line["behind_list"] = one.behind_list;
        } else {
            line["error"] = one.error;
        }
        list.push_back(std::move(line));
    }
    to << json{{"daemons", std::move(list)}}.dump(json_indent) << "\n";
}

bool all_addresses(const std::vector<std::string>& operands, const output& to)
{
    if (operands.empty())
        to.err << "ggdctl status: an ADMIN_ADDRESS is needed\n";
    bool good = !operands.empty();
    for (const std::string& text : operands) {
        if (base::parse_endpoint(text))
            continue;
        to.err << "ggdctl status: " << text << " is no IP:port\n";
        good = false;
    }
    return good;
}

} // namespace

exit_code run_status(arguments given, const output& to)
{
    int as_json = 0;
    const std::array table = {poptOption{
        "json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON", nullptr}};
    const auto options =
        parse_options({"status", "ADMIN_ADDRESS..."}, table, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (!all_addresses(options->operands, to))
        return exit_code::usage;
    std::vector<seen_daemon> all;
    for (const std::string& text : options->operands)
        all.push_back(look_at(text));
    mark_behind(all);
    const auto print = as_json != 0 ? write_status_json : write_status_text;
    print(all, to.out);
    const bool good = std::all_of(
        all.begin(), all.end(), [](const auto& one) { return one.good(); });
    return good ? exit_code::good : exit_code::faults;
}

} // namespace greengagedrum::ctl
