#include "child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace end_to_end
{

namespace
{

constexpr int signal_base = 128;
constexpr mode_t log_file_mode = 0644;
constexpr std::chrono::milliseconds poll_step(10);

std::vector<char*> argument_pointers(std::vector<std::string>& arguments)
{
    std::vector<char*> out;
    out.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
        out.push_back(argument.data());
    out.push_back(nullptr);
    return out;
}

} // namespace

std::string program_path(const std::string& name)
{
    const char* folder = std::getenv("GGD_PROGRAMS");
    return std::string(folder == nullptr ? "build" : folder) + "/" + name;
}

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& log_file)
{
    std::vector<std::string> all = {program_path(program)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers = argument_pointers(all);
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (log_file.empty()) {
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions,
                                         STDOUT_FILENO,
                                         log_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND,
                                         log_file_mode);
        posix_spawn_file_actions_adddup2(
            &actions, STDOUT_FILENO, STDERR_FILENO);
    }
    if (log_file.empty() && std::getenv("GGD_SHOW_LOGS") == nullptr)
        posix_spawn_file_actions_addopen(
            &actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    // Failure guarded against: a child keeps a socket of the test's own open
    // that was opened without O_CLOEXEC, so that its port stays in use.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = posix_spawn(&this->pid,
                                   all.front().c_str(),
                                   &actions,
                                   nullptr,
                                   pointers.data(),
                                   environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    this->output = pipe_ends[0];
    if (failed != 0) {
        close(this->output);
        throw std::runtime_error("can't start " + all.front());
    }
}

child_process::~child_process()
{
    if (!this->wait(std::chrono::milliseconds(0))) {
        this->signal(SIGKILL);
        this->wait(std::chrono::seconds(5));
    }
    close(this->output);
}

std::optional<std::string>
child_process::read_line(std::chrono::milliseconds patience)
{
    const auto limit = std::chrono::steady_clock::now() + patience;
    while (true) {
        const std::size_t end = this->buffered.find('\n');
        if (end != std::string::npos) {
            std::string line = this->buffered.substr(0, end);
            this->buffered.erase(0, end + 1);
            return line;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            limit - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            return std::nullopt;
        pollfd waited{this->output, POLLIN, 0};
        if (poll(&waited, 1, static_cast<int>(left.count())) <= 0)
            return std::nullopt;
        std::array<char, 512> bytes{};
        const ssize_t size = read(this->output, bytes.data(), bytes.size());
        if (size <= 0)
            return std::nullopt;
        this->buffered.append(bytes.data(), static_cast<std::size_t>(size));
    }
}

void child_process::signal(int number) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->status)
        kill(this->pid, number);
}

std::optional<int> child_process::reap()
{
    const std::lock_guard lock(this->mutex);
    int raw = 0;
    if (!this->status && waitpid(this->pid, &raw, WNOHANG) == this->pid)
        this->status =
            WIFSIGNALED(raw) ? signal_base + WTERMSIG(raw) : WEXITSTATUS(raw);
    return this->status;
}

std::optional<int> child_process::wait(std::chrono::milliseconds patience)
{
    const auto limit = std::chrono::steady_clock::now() + patience;
    while (true) {
        if (const auto ended = this->reap())
            return ended;
        if (std::chrono::steady_clock::now() >= limit)
            return std::nullopt;
        std::this_thread::sleep_for(poll_step);
    }
}

} // namespace end_to_end
