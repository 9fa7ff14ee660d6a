#include <greengagedrum/shutdown/stop_schedule.hpp>

#include <algorithm>

namespace greengagedrum::shutdown
{

namespace
{

// A request that is sent later than this after the signal, and is taken, must
// get its whole answer.
constexpr base::duration accept_limit = std::chrono::milliseconds(3000);
// For a request that is sent before the limit and read after it.
constexpr base::duration accept_margin = std::chrono::milliseconds(500);
constexpr base::duration accept_most = accept_limit - accept_margin;
// The timeout that leaves so long; a shorter one leaves less in proportion.
constexpr base::duration usual_timeout = std::chrono::seconds(8);

// A signal that is noticed later than this was held up by a freeze, and may
// have come at its start or just now.
constexpr base::duration notice_most = std::chrono::milliseconds(500);

// Before the process is killed: the last responses are written, and their
// callers close the connections.
constexpr base::duration ending_time = std::chrono::milliseconds(400);
constexpr base::duration exit_margin = std::chrono::milliseconds(100);

} // namespace

// After a freeze nothing is taken, since a refused request only has to be sent
// again. The end counts from at most `notice_most` ago: it cuts running
// requests for certain, while a signal that came earlier than that is only
// possible.
stop_schedule::stop_schedule(signal_window signal, base::duration timeout)
    : begun_at(std::max(signal.earliest, signal.noticed - notice_most)),
      accept_until(this->begun_at + std::min(accept_most,
                                             timeout * accept_most.count() /
                                                 usual_timeout.count())),
      end_at(
          std::max(this->accept_until, this->begun_at + timeout - ending_time)),
      over_at(std::max(this->end_at, this->begun_at + timeout - exit_margin))
{
    if (signal.earliest < this->begun_at)
        this->accept_until = std::min(this->accept_until, signal.noticed);
}

stop_phase stop_schedule::at(base::instant now) const
{
    if (now < this->accept_until)
        return stop_phase::accepting;
    if (now < this->end_at)
        return stop_phase::finishing;
    return now < this->over_at ? stop_phase::ending : stop_phase::over;
}

} // namespace greengagedrum::shutdown
