#include <demo/measured_daemon.hpp>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iterator>
#include <sstream>

extern char** environ;

namespace demo
{

namespace
{

// Standard output up to its first line's end.
std::string first_line(int from)
{
    std::string out;
    char next = 0;
    while (::read(from, &next, 1) == 1 && next != '\n')
        out.push_back(next);
    return out;
}

// The fields of /proc/PID/stat after the program's name, which may hold blanks.
std::vector<std::string> stat_fields(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream rest(line.substr(line.rfind(')') + 1));
    return {std::istream_iterator<std::string>(rest), {}};
}

} // namespace

measured_daemon::measured_daemon(const std::string& program,
                                 const std::vector<std::string>& flags)
{
    std::vector<std::string> all = {program};
    all.insert(all.end(), flags.begin(), flags.end());
    std::vector<char*> pointers;
    pointers.reserve(all.size() + 1);
    for (std::string& one : all)
        pointers.push_back(one.data());
    pointers.push_back(nullptr);
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        return;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const int failed = posix_spawn(&this->pid,
                                   program.c_str(),
                                   &actions,
                                   nullptr,
                                   pointers.data(),
                                   environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    this->output = ends[0];
    if (failed != 0) {
        this->pid = -1;
        return;
    }
    std::istringstream words(first_line(this->output));
    std::string name;
    std::string value;
    while (words >> name >> value) {
        if (name == "listening")
            this->caller_side = value;
        if (name == "admin")
            this->admin_side = value;
        if (name == "peers")
            this->peer_side = value;
    }
}

measured_daemon::~measured_daemon()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
    if (this->output >= 0)
        ::close(this->output);
}

double measured_daemon::processor_seconds() const
{
    constexpr std::size_t user = 11; // after state, the third field of all
    const auto fields = stat_fields(this->pid);
    if (fields.size() <= user + 1)
        return 0;
    const double ticks = std::stod(fields[user]) + std::stod(fields[user + 1]);
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double measured_daemon::resident_mib() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    constexpr double mebibyte = 1024.0 * 1024.0;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / mebibyte;
}

} // namespace demo
