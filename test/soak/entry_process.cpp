#include "entry_process.hpp"

#include <greengagedrum/platform/settings_file.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace soak
{

namespace
{

using namespace std::chrono_literals;

// From SIGTERM to SIGKILL, with what a busy machine needs to see the end.
constexpr auto grace = 8s;
constexpr auto grace_margin = 500ms;

// The load balancer probes once a second.
constexpr auto probe_period = 1s;

// 0 when the process has just ended.
std::size_t peak_kib_of(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    std::string word;
    std::size_t out = 0;
    while (status >> word) {
        if (word == "VmHWM:")
            status >> out;
    }
    return out;
}

} // namespace

entry_process::entry_process(std::string name,
                             const std::string& folder,
                             const std::string& settings,
                             ledger& ledger)
    : name(std::move(name)), settings_path(folder + "/" + this->name + ".toml"),
      log_path(folder + "/" + this->name + ".log"), records(ledger)
{
    std::ofstream(this->settings_path) << settings;
}

void entry_process::start()
{
    // One thread starts all processes.
    ::setenv(greengagedrum::platform::settings_variable,
             this->settings_path.c_str(),
             1);
    this->stop_began.reset();
    this->process = std::make_unique<end_to_end::child_process>(
        "greengagedrum-entry", std::vector<std::string>{}, this->log_path);
}

void entry_process::kill()
{
    this->check();
    this->process.reset(); // by SIGKILL
    this->stop_began.reset();
}

void entry_process::freeze()
{
    if (this->process)
        this->process->signal(SIGSTOP);
}

void entry_process::thaw()
{
    if (this->process)
        this->process->signal(SIGCONT);
}

void entry_process::begin_stop()
{
    if (!this->running())
        return;
    this->process->signal(SIGTERM);
    this->stop_began = clock::now();
}

bool entry_process::seen_stopping() const
{
    return this->stop_began && clock::now() - *this->stop_began > probe_period;
}

void entry_process::check()
{
    if (!this->process)
        return;
    this->peak = std::max(this->peak, peak_kib_of(this->process->id()));
    if (const auto ended = this->process->wait(0ms)) {
        if (!this->stop_began || *ended != 0)
            this->records.violation(this->name + " ended by itself with " +
                                    std::to_string(*ended));
        this->process.reset();
        this->stop_began.reset();
        return;
    }
    if (!this->stop_began ||
        clock::now() - *this->stop_began < grace + grace_margin)
        return;
    this->records.violation(this->name + " did not stop in time");
    this->process.reset();
    this->stop_began.reset();
}

} // namespace soak
