// Holds back the signals that a supervisor sends, until their handlers are
// there. A signal without a handler would end the process.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::entry
{

class held_signals
{
public:
    // Blocks SIGTERM, SIGINT and SIGHUP for this thread and for those that it
    // starts. Blocked signals wait.
    held_signals();
    ~held_signals() { this->release(); }
    held_signals(const held_signals&) = delete;
    held_signals& operator=(const held_signals&) = delete;

    // To be called once the handlers are installed.
    void release();

    // Sleeps for that long; true at once if the process is to stop. The
    // settings are read again after each start, so that SIGHUP needs nothing
    // here.
    bool wait_for_stop(base::duration most) const;

private:
    bool held = true;
};

} // namespace greengagedrum::entry
