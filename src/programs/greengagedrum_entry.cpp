// The entry on the users' instances: what the instance is comes from the
// platform's settings file, how the program behaves from flags and variables.
#include <greengagedrum/entry/held_signals.hpp>
#include <greengagedrum/entry/start.hpp>
#include <greengagedrum/logs/output.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/settings/entry_options.hpp>
#include <greengagedrum/settings/help.hpp>

#include <sys/syscall.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace
{

using namespace greengagedrum;

constexpr int exit_usage = 2;

// A bare system call: sanitizers replace the library's functions, and aren't
// ready yet.
void hold_signals(int, char**, char**)
{
    constexpr std::uint64_t signals = (1ULL << (SIGHUP - 1)) |
                                      (1ULL << (SIGINT - 1)) |
                                      (1ULL << (SIGTERM - 1));
    ::syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof signals);
}

// Runs before the initializers of shared libraries, which take most of the time
// until main().
[[gnu::used, gnu::section(".preinit_array")]] void (*const before_libraries)(
    int, char**, char**) = hold_signals;

// Ours goes before the platform's variable.
std::string settings_path(const settings::entry_options& options)
{
    if (options.settings_file)
        return *options.settings_file;
    const char* named = std::getenv(platform::settings_variable);
    return named == nullptr ? platform::default_settings_path : named;
}

std::string text_of(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file),
            std::istreambuf_iterator<char>()};
}

// The settings file names no address for metrics.
entry::settings with_metrics(entry::settings given, std::uint16_t port)
{
    given.metrics_address = {given.ip, port};
    return given;
}

// The platform may change the file without a signal.
class settings_watch
{
public:
    settings_watch(std::string path, std::uint16_t metrics_port)
        : path(std::move(path)), seen(text_of(this->path)),
          metrics_port(metrics_port)
    {
    }

    std::optional<entry::settings> read_if_changed()
    {
        std::string text = text_of(this->path);
        if (text == this->seen)
            return std::nullopt;
        this->seen = std::move(text);
        const auto read = platform::read_settings(this->seen);
        if (read)
            return with_metrics(*read, this->metrics_port);
        for (const std::string& fault : read.error())
            logs::write(logs::level::error,
                        "settings",
                        "reload_refused",
                        {{"why", fault}});
        return std::nullopt;
    }

private:
    std::string path;
    std::string seen;
    std::uint16_t metrics_port;
};

int serve(const entry::settings& given,
          const std::string& path,
          const settings::entry_options& options,
          entry::held_signals& signals)
{
    const logs::output lines(options.log_level, STDOUT_FILENO);
    settings_watch watch(path, options.metrics_port);
    try {
        const auto self = entry::start(
            given, [&watch] { return watch.read_if_changed(); }, signals);
        if (!self)
            return EXIT_SUCCESS;
        signals.release();
        self->run();
        return EXIT_SUCCESS;
    } catch (const std::exception& fault) {
        logs::write(logs::level::error,
                    "entry",
                    "stopped_by_fault",
                    {{"why", std::string_view(fault.what())}});
        return EXIT_FAILURE;
    }
}

int report(const std::vector<std::string>& faults)
{
    for (const std::string& fault : faults)
        std::cerr << "greengagedrum-entry: " << fault << '\n';
    return exit_usage;
}

// With --check and --print-settings the file counts as well.
int run(const settings::entry_start& start, entry::held_signals& signals)
{
    using settings::command;
    const command wanted = start.parsed.wanted;
    const bool file_counts =
        wanted != command::help && wanted != command::version;
    const std::string path = settings_path(start.values);
    const auto given = platform::read_settings_file(path);
    if (file_counts && !given)
        return report(given.error());
    if (const auto code = settings::answer_command(
            settings::entry_table(), start.parsed, std::cout)) {
        if (wanted == command::print_settings)
            std::cout << entry::to_text(
                with_metrics(*given, start.values.metrics_port));
        return *code;
    }
    return serve(with_metrics(*given, start.values.metrics_port),
                 path,
                 start.values,
                 signals);
}

} // namespace

int main(int argc, char** argv)
{
    entry::held_signals signals;
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = settings::program_arguments(argc, argv);
    const auto start =
        settings::parse_entry(arguments, settings::process_environment);
    if (start)
        return run(*start, signals);
    std::vector<std::string> faults;
    for (const settings::setting_fault& fault : start.error())
        faults.push_back(settings::to_string(fault));
    return report(faults);
}
