// greengagedrumd as a separate process, so that its processor time and memory
// can be read without those of the load and the stand-ins.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace demo
{

class measured_daemon
{
public:
    // Starts `program` with these flags; see `started`.
    measured_daemon(const std::string& program,
                    const std::vector<std::string>& flags);
    ~measured_daemon(); // SIGKILL
    measured_daemon(const measured_daemon&) = delete;
    measured_daemon& operator=(const measured_daemon&) = delete;

    // It listens; the addresses are "IP:port".
    bool started() const { return !this->caller_side.empty(); }
    const std::string& callers() const { return this->caller_side; }
    const std::string& admin() const { return this->admin_side; }
    const std::string& peers() const { return this->peer_side; }

    double processor_seconds() const; // user and system, since its start
    double resident_mib() const;

private:
    pid_t pid = -1;
    int output = -1;
    std::string caller_side;
    std::string admin_side;
    std::string peer_side;
};

} // namespace demo
