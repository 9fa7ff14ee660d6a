// One entry as a process that is signalled and started again.
#pragma once

#include <greengagedrum/platform/settings_file.hpp>

#include "coroutine.hpp"
#include "ledger.hpp"
#include <end_to_end/child_process.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <string>
#include <utility>

namespace soak
{

class entry_process
{
public:
    // `settings`: the text of the platform's file, written to the folder, which
    // gets the log as well.
    entry_process(std::string name,
                  const std::string& folder,
                  const std::string& settings,
                  std::size_t memory_mb,
                  ledger& ledger)
        : memory_kib(memory_mb * 1'000'000 / 1024), name(std::move(name)),
          path(folder + "/" + this->name), records(ledger)
    {
        std::ofstream(this->path + ".toml") << settings;
    }

    void start()
    {
        // One thread starts all processes.
        ::setenv(greengagedrum::platform::settings_variable,
                 (this->path + ".toml").c_str(),
                 1);
        this->process = std::make_unique<end_to_end::child_process>(
            "greengagedrum-entry",
            std::vector<std::string>{},
            this->path + ".log");
    }

    void kill()
    {
        this->check();
        this->forget();
    }

    void signal(int number)
    {
        if (number == SIGTERM)
            this->stop_began = clock::now();
        if (this->process)
            this->process->signal(number);
    }

    // Looks whether the process has ended and what memory it has used. An end
    // that nobody asked for is a violation, and so is a stop that takes longer
    // than the platform waits before it kills.
    void check()
    {
        if (!this->process)
            return;
        this->check_memory();
        const auto ended = this->process->wait(std::chrono::milliseconds(0));
        if (ended && (!this->stop_began || *ended != 0))
            this->records.violation(this->name + " ended with status " +
                                    std::to_string(*ended));
        const bool overdue =
            this->stop_began && clock::now() - *this->stop_began > stop_bound;
        if (overdue && !ended)
            this->records.violation(this->name + " did not stop in time");
        if (ended || overdue)
            this->forget();
    }

    bool alive() const { return this->process != nullptr; }

    // False as well once the load balancer has seen that it stops.
    bool takes_callers() const
    {
        return this->alive() &&
               !(this->stop_began &&
                 clock::now() - *this->stop_began > probe_period);
    }

private:
    // 8 s until SIGKILL, and what a busy machine needs to see the end.
    static constexpr std::chrono::milliseconds stop_bound{8500};
    static constexpr std::chrono::seconds probe_period{1};

    void forget()
    {
        this->process.reset(); // SIGKILL if it still runs
        this->stop_began.reset();
    }

    void check_memory()
    {
        std::ifstream status("/proc/" + std::to_string(this->process->id()) +
                             "/status");
        std::string word;
        std::size_t peak = 0; // stays so when the process has just ended
        while (status >> word) {
            if (word == "VmHWM:")
                status >> peak;
        }
        this->records.measure("KiB of the largest entry", peak);
        if (peak > this->memory_kib && !std::exchange(this->over_limit, true))
            this->records.violation(this->name + " uses " +
                                    std::to_string(peak) + " KiB");
    }

    std::size_t memory_kib; // that it may use
    bool over_limit = false;
    std::string name;
    std::string path; // of its files, without extension
    ledger& records;
    std::unique_ptr<end_to_end::child_process> process;
    std::optional<clock::time_point> stop_began;
};

} // namespace soak
