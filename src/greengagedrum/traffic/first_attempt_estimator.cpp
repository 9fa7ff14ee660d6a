#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/first_attempt_estimator.hpp>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// Initial estimate as a fraction of the first caller's time left. Callers'
// deadlines vary by about a sixth of the longest.
constexpr double first_part = 0.8;

// One first attempt in twenty may have less time left and is then taken for a
// retry. The only effect is that it goes behind first attempts while there is a
// queue.
constexpr double below = 0.05;
constexpr double step = 0.05;

// Callers retry within a third of their time. This long after the last refusal,
// new callers are first attempts, or earlier callers no longer wait.
constexpr base::duration refusals_matter_for = std::chrono::seconds(10);

} // namespace

void first_attempt_estimator::record(base::kind_id kind,
                                     base::duration time_left,
                                     base::instant now)
{
    const double seconds = seconds_of(time_left);
    const auto [found, first] =
        this->least.try_emplace(kind, first_part * seconds);
    if (first || now - this->refusals_at < refusals_matter_for)
        return;
    double& low = found->second;
    low *= seconds < low ? 1 - step * (1 - below) : 1 + step * below;
}

bool first_attempt_estimator::is_retry(base::kind_id kind,
                                       base::duration time_left) const
{
    const auto found = this->least.find(kind);
    return found != this->least.end() && seconds_of(time_left) < found->second;
}

} // namespace greengagedrum::traffic
