#include <greengagedrum/shutdown/stop_schedule.hpp>

#include <algorithm>

namespace greengagedrum::shutdown
{

namespace
{

// The load balancer probes once a second and needs two negative answers to stop
// sending. A short timeout leaves less for that.
constexpr base::duration accept_most = std::chrono::milliseconds(3000);
constexpr int accept_numerator = 3; // of the timeout
constexpr int accept_denominator = 8;

// Before the process is killed: the last responses are written, and their
// callers close the connections.
constexpr base::duration ending_time = std::chrono::milliseconds(400);
constexpr base::duration exit_margin = std::chrono::milliseconds(100);

} // namespace

stop_schedule::stop_schedule(base::instant begun, base::duration timeout)
    : begun_at(begun),
      accept_until(begun +
                   std::min(accept_most,
                            timeout * accept_numerator / accept_denominator)),
      end_at(std::max(this->accept_until, begun + timeout - ending_time)),
      over_at(std::max(this->end_at, begun + timeout - exit_margin))
{
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
