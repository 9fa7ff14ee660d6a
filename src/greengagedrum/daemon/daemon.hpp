// One entry instance: all duties joined, from settings to a graceful stop.
//
// It can also run within a test or the demo, several in one process; it owns
// no global state but the log.
#pragma once

#include <greengagedrum/settings/daemon_settings.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace greengagedrum::daemon
{

class daemon
{
public:
    explicit daemon(const settings::daemon_settings& settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // False when an address can't be bound; `error` says which.
    bool start(std::string& error);

    // Takes no new request, finishes all in flight, then returns. After
    // `bound` the rest ends with honest verdicts. True when nothing was cut.
    bool stop(std::chrono::milliseconds bound);

    // True once an operator asked by POST /drain that it stops; readiness has
    // failed then, and no new request is taken. The owner calls stop().
    bool drain_asked() const;

    // Ends the rest at once; may be called while stop() waits.
    void hurry();

    // "IP:port" as bound.
    std::string caller_address() const;
    std::string admin_address() const;
    std::string peer_address() const;

    // True once it has configuration and is not stopping.
    bool ready() const;

private:
    struct parts;
    std::unique_ptr<parts> own;
};

} // namespace greengagedrum::daemon
