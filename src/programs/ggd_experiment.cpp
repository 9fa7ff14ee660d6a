// ggd-experiment: one scenario against several placement policies in one run,
// in alternating order, repeated; beside it what a scheduler that knew
// everything could give on paper. Exit status: 0 all promises held, 1 one was
// broken, 2 usage or a run that could not be made.
#include <load/comparison.hpp>
#include <standin/document_folder.hpp>

#include <demo/experiment.hpp>
#include <demo/experiment_table.hpp>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace
{

using demo::placement_choice;

constexpr int exit_usage = 2;
constexpr std::array all_policies = {placement_choice::scheduler,
                                     placement_choice::round_robin,
                                     placement_choice::least_reported,
                                     placement_choice::least_outstanding};

struct arguments {
    std::string scenario;
    int repetitions = 3;
    int json = 0;
};

int usage(const std::string& why)
{
    std::cerr << "ggd-experiment: " << why << "\ntry --help\n";
    return exit_usage;
}

bool read_arguments(int count, const char** given, arguments& out)
{
    const poptOption table[] = {
        {"repetitions",
         'n',
         POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &out.repetitions,
         0,
         "runs of each policy, each with the next seed",
         "N"},
        {"json", 'j', POPT_ARG_NONE, &out.json, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("ggd-experiment", count, given, table, 0),
        &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[OPTIONS] SCENARIO.json");
    if (poptGetNextOpt(context.get()) != -1)
        return false;
    const char* file = poptGetArg(context.get());
    if (file == nullptr || poptPeekArg(context.get()) != nullptr)
        return false;
    out.scenario = file;
    constexpr int most = 100;
    return out.repetitions > 0 && out.repetitions <= most;
}

// Empty, or what went wrong. Repetition i begins with policy i, so that no
// policy always runs first.
std::string run_all(demo::experiment wanted,
                    const arguments& chosen,
                    const std::vector<standin::named_document>& documents,
                    demo::experiment_table& out)
{
    for (int index = 0; index < chosen.repetitions; ++index) {
        out.add_bound(demo::paper_bound(wanted, documents));
        for (std::size_t turn = 0; turn < all_policies.size(); ++turn) {
            const auto policy =
                all_policies[(turn + static_cast<std::size_t>(index)) %
                             all_policies.size()];
            auto found = demo::run_experiment(wanted, policy);
            if (!found)
                return found.error();
            std::fprintf(stderr,
                         "repetition %d %s done\n",
                         index + 1,
                         std::string(demo::name_of(policy)).c_str());
            out.add(policy, std::move(*found));
        }
        ++wanted.traffic.seed;
    }
    return "";
}

} // namespace

int main(int count, char** given)
{
    arguments chosen;
    if (!read_arguments(count, const_cast<const char**>(given), chosen))
        return usage("needs one scenario and at most 100 repetitions");
    std::ifstream file(chosen.scenario);
    if (!file)
        return usage("can't read " + chosen.scenario);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto wanted = demo::parse_experiment(text);
    if (!wanted)
        return usage(chosen.scenario + ": " + wanted.error());
    const auto documents = standin::read_document_folder(wanted->documents);
    if (!documents)
        return usage(documents.error());
    demo::experiment_table found(placement_choice::scheduler);
    const std::string fault = run_all(*wanted, chosen, *documents, found);
    if (!fault.empty())
        return usage(fault);
    if (chosen.json != 0)
        std::cout << found.to_json().dump(2) << '\n';
    else
        std::cout << found.to_text();
    return found.broken() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
