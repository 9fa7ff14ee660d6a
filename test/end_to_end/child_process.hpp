// One of our own programs as a separate process, ended with its object.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace end_to_end
{

class child_process
{
public:
    // Starts `program` of the build folder; its standard output is read here,
    // its standard error goes to ours only with GGD_SHOW_LOGS set. With a log
    // file, both are appended to that instead.
    child_process(const std::string& program,
                  const std::vector<std::string>& arguments,
                  const std::string& log_file = {});
    ~child_process(); // SIGKILL, if it still runs
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // The next line of its output; none when it ends or says nothing in time.
    std::optional<std::string> read_line(std::chrono::milliseconds patience);

    // Both may be called by another thread than the owner's.
    void signal(int number) const;

    // The exit status, 128 + N after signal N; none when it still runs.
    std::optional<int> wait(std::chrono::milliseconds patience);

    pid_t id() const { return this->pid; }

private:
    pid_t pid = -1;
    int output = -1;
    std::string buffered;
    mutable std::mutex mutex; // of `status`
    std::optional<int> status;

    std::optional<int> reap();
};

// The folder of the programs, from the environment.
std::string program_path(const std::string& name);

} // namespace end_to_end
