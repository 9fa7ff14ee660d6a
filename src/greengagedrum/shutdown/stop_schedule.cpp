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

// The load balancer probes once a second and sends nothing after two negative
// answers. Answers closer together went to different probers.
constexpr base::duration probe_spacing = std::chrono::milliseconds(500);
// For connections and requests that are on their way at the second answer.
constexpr base::duration probe_margin = std::chrono::milliseconds(500);

// Before the process is killed: the last responses are written, and their
// callers close the connections.
constexpr base::duration ending_time = std::chrono::milliseconds(400);
constexpr base::duration exit_margin = std::chrono::milliseconds(100);

base::duration share_of(base::duration timeout, base::duration of_usual)
{
    return std::min(of_usual,
                    timeout * of_usual.count() / usual_timeout.count());
}

} // namespace

// After a freeze nothing is taken, since a refused request only has to be sent
// again. The end counts from at most `notice_most` ago: it cuts running
// requests for certain, while a signal that came earlier than that is only
// possible.
stop_schedule::stop_schedule(signal_window signal, base::duration timeout)
    : begun_at(std::max(signal.earliest, signal.noticed - notice_most)),
      accept_until(this->begun_at + share_of(timeout, accept_most)),
      end_at(
          std::max(this->accept_until, this->begun_at + timeout - ending_time)),
      over_at(std::max(this->end_at, this->begun_at + timeout - exit_margin)),
      listen_until(this->begun_at + share_of(timeout, accept_limit))
{
    if (signal.earliest < this->begun_at)
        this->accept_until = std::min(this->accept_until, signal.noticed);
}

void stop_schedule::on_negative_probe(base::instant now)
{
    if (!this->first_probe) {
        this->first_probe = now;
        return;
    }
    if (now - *this->first_probe < probe_spacing ||
        now + probe_margin >= this->accept_until)
        return;
    this->accept_until = now + probe_margin;
    this->ended_by_probes = true;
}

void stop_schedule::on_timeout_changed(base::duration timeout)
{
    const stop_schedule changed({this->begun_at, this->begun_at}, timeout);
    if (changed.accept_until < this->accept_until)
        this->ended_by_probes = false;
    this->accept_until = std::min(this->accept_until, changed.accept_until);
    this->end_at = std::min(this->end_at, changed.end_at);
    this->over_at = std::min(this->over_at, changed.over_at);
    this->listen_until = std::min(this->listen_until, changed.listen_until);
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
