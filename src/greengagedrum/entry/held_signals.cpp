#include <greengagedrum/entry/held_signals.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>

namespace greengagedrum::entry
{

namespace
{

sigset_t supervisor_signals()
{
    sigset_t out;
    ::sigemptyset(&out);
    ::sigaddset(&out, SIGTERM);
    ::sigaddset(&out, SIGINT);
    ::sigaddset(&out, SIGHUP);
    return out;
}

timespec timespec_of(base::duration value)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(value);
    const std::chrono::nanoseconds rest = value - seconds;
    timespec out{};
    out.tv_sec = static_cast<std::time_t>(seconds.count());
    out.tv_nsec = static_cast<long>(rest.count());
    return out;
}

} // namespace

held_signals::held_signals()
{
    const sigset_t signals = supervisor_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void held_signals::release()
{
    if (!this->held)
        return;
    this->held = false;
    const sigset_t signals = supervisor_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool held_signals::wait_for_stop(base::duration most) const
{
    const sigset_t signals = supervisor_signals();
    const auto end = std::chrono::steady_clock::now() + most;
    while (true) {
        const auto left = std::chrono::duration_cast<base::duration>(
            end - std::chrono::steady_clock::now());
        const timespec timeout = timespec_of(std::max(left, base::duration(0)));
        const int number = ::sigtimedwait(&signals, nullptr, &timeout);
        if (number == SIGTERM || number == SIGINT)
            return true;
        if (left.count() <= 0)
            return false;
    }
}

} // namespace greengagedrum::entry
