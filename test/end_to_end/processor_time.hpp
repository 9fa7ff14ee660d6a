// The processor time of another process.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace end_to_end
{

// User and system time: fields 14 and 15 of /proc/PID/stat, counted behind the
// name in brackets.
inline double processor_seconds(pid_t id)
{
    constexpr int fields_before_user = 11;
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int at = 0; at < fields_before_user; ++at)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace end_to_end
