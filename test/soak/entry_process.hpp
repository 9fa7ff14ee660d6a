// One entry as a process that is signalled and started again.
#pragma once

#include "coroutine.hpp"
#include "ledger.hpp"
#include <end_to_end/child_process.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

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
                  ledger& ledger);

    void start();
    void kill();
    void freeze();
    void thaw();
    void begin_stop(); // SIGTERM

    // Looks whether the process has ended and what memory it has used; an end
    // that nobody asked for is a violation. SIGKILL is due `grace` after
    // SIGTERM and a violation.
    void check();

    bool running() const { return this->process && !this->stop_began; }
    bool stopping() const { return this->stop_began.has_value(); }
    // True once the load balancer has seen that the entry stops.
    bool seen_stopping() const;

    std::size_t peak_kib() const { return this->peak; }

private:
    std::string name;
    std::string settings_path;
    std::string log_path;
    ledger& records;
    std::unique_ptr<end_to_end::child_process> process;
    std::optional<clock::time_point> stop_began;
    std::size_t peak = 0; // of all its processes
};

} // namespace soak
