// test-soak: real entries under faults drawn from a seed. See
// docs/design/soak.md.
#include <greengagedrum/settings/help.hpp>
#include <greengagedrum/settings/parse.hpp>

#include "soak.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace
{

namespace settings = greengagedrum::settings;

constexpr std::int64_t seeds_most = 1'000'000;
constexpr std::int64_t seconds_most = 3600;
constexpr std::int64_t rate_most = 5000;
constexpr std::int64_t memory_most = 100'000;
constexpr std::int64_t entries_least = 2; // the large ones
constexpr std::int64_t entries_most = 90; // addresses before the upstreams'

const settings::setting_table& table()
{
    static const std::vector<settings::setting> all = {
        {.name = "seed",
         .help = "The first seed.",
         .type = settings::integer_type{0, seeds_most},
         .fallback = "1"},
        {.name = "seeds",
         .help = "How many seeds are run, one after another.",
         .type = settings::integer_type{1, seeds_most},
         .fallback = "1"},
        {.name = "seconds",
         .help = "How long faults are injected, for each seed.",
         .type = settings::integer_type{1, seconds_most},
         .fallback = "8"},
        {.name = "rate",
         .help = "Requests per second.",
         .type = settings::integer_type{1, rate_most},
         .fallback = "150"},
        {.name = "memory",
         .help = "Megabytes that each entry may use.",
         .type = settings::integer_type{1, memory_most},
         .fallback = "160"},
        {.name = "entries",
         .help = "Processes of entries; from nine on, they use dispatchers.",
         .type = settings::integer_type{entries_least, entries_most},
         .fallback = "4"},
        {.name = "descriptors",
         .help =
             "Descriptors that each entry gets; 0: as many as this program.",
         .type = settings::integer_type{0, 1'000'000},
         .fallback = "0"},
        {.name = "machine-faults",
         .help = "Entries start beside predecessors, with ports held and "
                 "signals in series.",
         .type = settings::switch_type{},
         .fallback = "false"},
        {.name = "crashing-part",
         .help = "Upstreams crash on requests with one part of the prompt.",
         .type = settings::switch_type{},
         .fallback = "false"}};
    static const settings::setting_table out{
        "test-soak",
        "0.1.0",
        "Real entries under faults that are drawn from a seed.",
        "GGD_SOAK_",
        all};
    return out;
}

std::string new_folder()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    return path;
}

bool run_seed(soak::options given)
{
    given.folder = new_folder();
    std::cout << "seed " << given.seed << std::endl;
    const bool passed = soak::run(given).pass();
    if (passed) {
        std::filesystem::remove_all(given.folder);
        std::cout << "seed " << given.seed << " passed" << std::endl;
        return true;
    }
    std::cout << "seed " << given.seed
              << " FAILED; settings and logs: " << given.folder << std::endl;
    return false;
}

int run_seeds(const settings::parsed_settings& parsed)
{
    soak::options given;
    const auto first = parsed.get<std::int64_t>("seed");
    const auto seeds = parsed.get<std::int64_t>("seeds");
    given.length = std::chrono::seconds(parsed.get<std::int64_t>("seconds"));
    given.rate = static_cast<double>(parsed.get<std::int64_t>("rate"));
    given.memory_mb =
        static_cast<std::size_t>(parsed.get<std::int64_t>("memory"));
    given.entries =
        static_cast<std::size_t>(parsed.get<std::int64_t>("entries"));
    given.descriptors =
        static_cast<std::size_t>(parsed.get<std::int64_t>("descriptors"));
    given.crashing_part = parsed.get<bool>("crashing-part");
    given.machine_faults = parsed.get<bool>("machine-faults");
    std::vector<std::int64_t> failed;
    for (std::int64_t seed = first; seed < first + seeds; ++seed) {
        given.seed = static_cast<std::uint64_t>(seed);
        if (!run_seed(given))
            failed.push_back(seed);
    }
    std::cout << seeds << " seeds, " << failed.size() << " failed:";
    for (const std::int64_t seed : failed)
        std::cout << ' ' << seed;
    std::cout << std::endl;
    return failed.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

// An exception ends the entries, too.
int main(int argc, char** argv)
try {
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = settings::program_arguments(argc, argv);
    const auto parsed =
        settings::parse(table(), arguments, settings::process_environment);
    if (!parsed) {
        for (const settings::setting_fault& fault : parsed.error())
            std::cerr << "test-soak: " << settings::to_string(fault) << '\n';
        return EXIT_FAILURE;
    }
    if (const auto code = settings::answer_command(table(), *parsed, std::cout))
        return *code;
    return run_seeds(*parsed);
} catch (const std::exception& fault) {
    std::cerr << "test-soak: " << fault.what() << '\n';
    return EXIT_FAILURE;
}
