// The entry daemon.
#include <greengagedrum/daemon/daemon.hpp>
#include <greengagedrum/logs/output.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/settings/daemon_settings.hpp>
#include <greengagedrum/settings/help.hpp>
#include <greengagedrum/settings/parse.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

using namespace greengagedrum;

constexpr int exit_usage = 2;

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

constexpr timespec wait_slice{0, 50'000'000};

// Why the program stops.
const char* wait_for_end(const daemon::daemon& entry)
{
    const sigset_t set = stop_signals();
    while (!entry.drain_asked()) {
        if (sigtimedwait(&set, nullptr, &wait_slice) > 0)
            return "signal";
    }
    return "drain";
}

// Waits for a signal until `done`; true when one came.
bool wait_for_signal_until(const std::atomic<bool>& done)
{
    const sigset_t set = stop_signals();
    while (!done) {
        if (sigtimedwait(&set, nullptr, &wait_slice) > 0)
            return true;
    }
    return false;
}

int report(const settings::setting_faults& faults)
{
    for (const settings::setting_fault& fault : faults)
        std::cerr << "greengagedrumd: " << settings::to_string(fault) << '\n';
    return exit_usage;
}

int serve(const settings::daemon_settings& values)
{
    const logs::output lines(values.log_level);
    daemon::daemon entry(values);
    std::string error;
    if (!entry.start(error)) {
        std::cerr << "greengagedrumd: " << error << '\n';
        return EXIT_FAILURE;
    }
    // Standard output belongs to the trace when one is recorded.
    const bool traced = values.record_trace != settings::trace_target::off;
    (traced ? std::cerr : std::cout)
        << "listening " << entry.caller_address() << " admin "
        << entry.admin_address() << " peers " << entry.peer_address()
        << std::endl;
    logs::write(logs::level::info,
                "daemon",
                "started",
                {{"instance", values.instance},
                 {"data_centre", values.data_centre},
                 {"callers", entry.caller_address()},
                 {"admin", entry.admin_address()}});
    const char* why = wait_for_end(entry);
    logs::write(logs::level::info, "daemon", "stopping", {{"why", why}});
    // A second signal ends what is still in flight.
    std::atomic<bool> stopped{false};
    std::thread second([&entry, &stopped] {
        if (wait_for_signal_until(stopped))
            entry.hurry();
    });
    const bool whole = entry.stop(values.stop_bound);
    stopped = true;
    second.join();
    logs::write(logs::level::info, "daemon", "stopped", {{"whole", whole}});
    return whole ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = settings::program_arguments(argc, argv);
    const auto start =
        settings::parse_daemon(arguments, settings::process_environment);
    if (!start)
        return report(start.error());
    if (const auto code = settings::answer_command(
            settings::daemon_table(), start->parsed, std::cout))
        return *code;
    return serve(start->values);
}
