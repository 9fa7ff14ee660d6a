// One entry as a process that is signalled and started again.
#pragma once

#include <greengagedrum/platform/settings_file.hpp>

#include "coroutine.hpp"
#include "ledger.hpp"
#include "options.hpp"
#include <end_to_end/child_process.hpp>
#include <end_to_end/processor_time.hpp>
#include <sys/resource.h>
#include <unistd.h>

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
    // `settings`: the text of the platform's file, written to the folder of
    // `given`, which gets the log as well.
    entry_process(std::string name,
                  const std::string& settings,
                  const options& given,
                  ledger& ledger)
        : memory_kib(given.memory_mb * 1'000'000 / 1024),
          descriptors(given.descriptors),
          watches_processor(given.machine_faults), name(std::move(name)),
          path(given.folder + "/" + this->name), records(ledger)
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
        // This program needs more, so the limit is the process's alone.
        const rlimit limit{this->descriptors, this->descriptors};
        if (this->descriptors > 0)
            ::prlimit(this->process->id(), RLIMIT_NOFILE, &limit, nullptr);
        this->busy_since.reset();
    }

    // Starts another process beside this one, which has been asked to stop.
    void start_beside()
    {
        this->check();
        if (this->process && this->stop_began) {
            this->predecessor = std::move(this->process);
            this->predecessor_stop_began = std::exchange(this->stop_began, {});
        }
        if (!this->process)
            this->start();
    }

    // Whether a signal would wait for its handler or find it. Until the loader
    // is done, no program can see to that.
    bool takes_signals() const
    {
        constexpr std::uint64_t hangup = 1ULL << (SIGHUP - 1);
        const std::uint64_t masks =
            this->status_value("SigBlk:") | this->status_value("SigCgt:");
        return (masks & hangup) != 0;
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
        this->check_predecessor();
        if (!this->process)
            return;
        this->check_memory();
        if (this->watches_processor)
            this->check_processor();
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
        return this->alive() && !this->predecessor &&
               clock::now() >= this->takes_over_at &&
               !(this->stop_began &&
                 clock::now() - *this->stop_began > probe_period);
    }

private:
    // 8 s until SIGKILL, and what a busy machine needs to see the end.
    static constexpr std::chrono::milliseconds stop_bound{8500};
    static constexpr std::chrono::seconds probe_period{1};
    // A whole core for so long is no work of these runs.
    static constexpr std::chrono::seconds busy_bound{3};

    // Of a line of the process's status in /proc; 0: it has ended.
    std::uint64_t status_value(const std::string& key) const
    {
        if (!this->process)
            return 0;
        std::ifstream status("/proc/" + std::to_string(this->process->id()) +
                             "/status");
        std::string word;
        std::uint64_t out = 0;
        while (status >> word) {
            if (word == key)
                status >> std::hex >> out;
        }
        return out;
    }

    void check_predecessor()
    {
        if (!this->predecessor)
            return;
        const auto ended =
            this->predecessor->wait(std::chrono::milliseconds(0));
        const bool overdue =
            clock::now() - *this->predecessor_stop_began > stop_bound;
        if (!ended && !overdue)
            return;
        if (!ended || *ended != 0)
            this->records.violation(
                "the predecessor of " + this->name +
                (ended ? " ended with status " + std::to_string(*ended)
                       : " did not stop in time"));
        this->predecessor.reset();
        this->takes_over_at = clock::now() + probe_period;
    }

    void check_processor()
    {
        const auto now = clock::now();
        const double used = end_to_end::processor_seconds(this->process->id());
        if (!this->busy_since) {
            this->busy_since = now;
            this->used_before = used;
            return;
        }
        const std::chrono::duration<double> passed = now - *this->busy_since;
        if (passed < busy_bound)
            return;
        constexpr double whole = 0.95;
        if (used - this->used_before > whole * passed.count())
            this->records.violation(this->name + " burnt a core");
        this->busy_since = now;
        this->used_before = used;
    }

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

    std::size_t memory_kib;  // that it may use
    std::size_t descriptors; // that it gets; 0: as this program
    bool watches_processor;
    bool over_limit = false;
    std::optional<clock::time_point> busy_since;
    double used_before = 0; // processor seconds
    // Asked to stop, while its successor is there already.
    std::unique_ptr<end_to_end::child_process> predecessor;
    std::optional<clock::time_point> predecessor_stop_began;
    clock::time_point takes_over_at;
    std::string name;
    std::string path; // of its files, without extension
    ledger& records;
    std::unique_ptr<end_to_end::child_process> process;
    std::optional<clock::time_point> stop_began;
};

} // namespace soak
