#include <greengagedrum/config/check.hpp>
#include <greengagedrum/ctl/admin_client.hpp>
#include <greengagedrum/ctl/document_folder.hpp>
#include <greengagedrum/ctl/explain_command.hpp>
#include <greengagedrum/ctl/explanation.hpp>
#include <greengagedrum/ctl/fault_report.hpp>
#include <greengagedrum/ctl/options.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <ostream>

namespace greengagedrum::ctl
{

namespace
{

using nlohmann::json;

// ---- Text -----------------------------------------------------------------

std::string limit_text(std::uint32_t limit)
{
    return limit == 0 ? "any" : std::to_string(limit);
}

std::string tier_text(base::tier own)
{
    std::string out(base::to_string(own));
    std::string before;
    for (const base::tier other : base::all_tiers)
        if (base::more_urgent(other, own))
            before += " " + std::string(base::to_string(other));
    return out + (before.empty() ? ": before all others" : ": after" + before);
}

void print_rules(const explanation& what, std::ostream& to)
{
    const config::kind_rules& rules = what.rules;
    const bool once = rules.repetition == base::repetition::at_most_once;
    to << what.workspace << " " << rules.name << "\n"
       << "  tier        " << tier_text(rules.tier) << "\n"
       << "  repetition  "
       << (once ? "at_most_once: dispatched once; a broken stream is resumed"
                : "idempotent: run again after a failure, within the retry "
                  "budget")
       << "\n"
       << "  deadline    "
       << std::chrono::duration_cast<std::chrono::milliseconds>(rules.deadline)
              .count()
       << " ms from arrival to the whole answer\n"
       << "  limits      of the workspace: in flight "
       << limit_text(rules.max_in_flight) << ", tokens a second "
       << limit_text(rules.tokens_per_second) << "\n"
       << "  preemptible " << (rules.preemptible ? "yes" : "no") << "\n"
       << "  overflow    " << (rules.overflow ? "allowed" : "not allowed")
       << " to another data centre\n"
       << "  needs       "
       << (rules.model.empty() ? "path " + rules.path : "model " + rules.model)
       << "\n";
}

void print_seen(const seen_upstream& seen, std::ostream& to)
{
    to << "; " << (seen.listed ? "listed live" : "not listed live: no new work")
       << ", " << seen.in_flight << " of " << seen.allowance
       << " in flight, about " << std::lround(seen.others) << " of others";
    if (seen.suspected != "none")
        to << ", suspected: " << seen.suspected;
}

void print_candidate(const candidate& one, std::ostream& to)
{
    const config::upstream_entry& entry = one.entry;
    to << "    " << entry.name << ": at most " << entry.max_in_flight
       << " at once";
    if (entry.type == config::upstream_type::engine)
        to << ", prefill " << entry.prefill_tokens_per_second
           << " tokens/s, decode " << entry.decode_tokens_per_second
           << " tokens/s";
    if (one.seen)
        print_seen(*one.seen, to);
    to << "\n";
}

void print_centre(const centre_candidates& centre, std::ostream& to)
{
    to << "  taken in " << centre.name << (centre.home ? " (home)" : "")
       << " it goes to one of\n";
    for (const candidate& one : centre.candidates)
        print_candidate(one, to);
    if (centre.candidates.empty())
        to << "    none: not_run, no_upstream\n";
    for (const std::string& name : centre.without_model)
        to << "    not to " << name << ": of the class, without the model\n";
}

void print_text(const explanation& what, std::ostream& to)
{
    print_rules(what, to);
    if (!what.seen_by.empty())
        to << "  as seen by " << what.seen_by << "\n";
    for (const centre_candidates& centre : what.centres)
        print_centre(centre, to);
}

// ---- The command ----------------------------------------------------------

struct question {
    std::string workspace;
    std::string kind;
    std::string folder;
    std::optional<base::ip_endpoint> admin;
};

bool ask_daemon(const base::ip_endpoint& address,
                explanation& what,
                const output& to)
{
    const auto answer = ask_admin(address, "GET", "/status");
    if (!answer) {
        to.err << "ggdctl explain: " << base::to_string(address) << ": "
               << answer.error() << "\n";
        return false;
    }
    if (add_seen(what, json::parse(*answer, nullptr, false)))
        return true;
    to.err << "ggdctl explain: its status can't be read\n";
    return false;
}

exit_code show(const question& asked, const output& to)
{
    const auto documents = read_documents(asked.folder);
    if (!documents) {
        to.err << "ggdctl explain: " << documents.error() << "\n";
        return exit_code::usage;
    }
    const config::check_result checked = config::check(*documents);
    if (!checked.faults.empty()) {
        print_faults(checked.faults, to.err);
        return exit_code::faults;
    }
    const auto* workspace = checked.snapshot->find_workspace(asked.workspace);
    const auto* kind =
        workspace == nullptr ? nullptr : workspace->find_kind(asked.kind);
    if (kind == nullptr) {
        to.err << "ggdctl explain: no workspace " << asked.workspace
               << " with a kind " << asked.kind << " in " << asked.folder
               << "\n";
        return exit_code::usage;
    }
    explanation what = explain(checked.snapshot->fleet, *workspace, *kind);
    const bool seen = !asked.admin || ask_daemon(*asked.admin, what, to);
    print_text(what, to.out);
    return seen ? exit_code::good : exit_code::faults;
}

std::vector<poptOption> options_table(option_text& folder, option_text& admin)
{
    return {poptOption{"documents",
                       'd',
                       POPT_ARG_STRING,
                       folder.address(),
                       0,
                       "folder that holds the documents",
                       "DIR"},
            poptOption{"admin",
                       'a',
                       POPT_ARG_STRING,
                       admin.address(),
                       0,
                       "adds what this daemon sees",
                       "ADDRESS"}};
}

} // namespace

exit_code run_explain(arguments given, const output& to)
{
    option_text folder;
    option_text admin;
    const auto table = options_table(folder, admin);
    const auto options =
        parse_options({"explain", "WORKSPACE KIND"}, table, given);
    if (!options) {
        to.err << options.error() << "\n";
        return exit_code::usage;
    }
    if (options->help) {
        to.out << options->help_text;
        return exit_code::good;
    }
    if (options->operands.size() != 2 || !folder.given()) {
        to.err << "ggdctl explain: WORKSPACE, KIND and --documents are "
                  "needed\n";
        return exit_code::usage;
    }
    const auto address = base::parse_endpoint(admin.value());
    if (admin.given() && !address) {
        to.err << "ggdctl explain: " << admin.value() << " is no IP:port\n";
        return exit_code::usage;
    }
    const question asked{options->operands[0],
                         options->operands[1],
                         folder.value(),
                         admin.given() ? std::optional(*address)
                                       : std::nullopt};
    return show(asked, to);
}

} // namespace greengagedrum::ctl
