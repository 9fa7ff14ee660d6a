#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/first_attempt_estimator.hpp>

namespace greengagedrum::traffic
{

using placement::seconds_of;

namespace
{

// Of the first caller's time; callers' own deadlines were seen to scatter over
// a sixth of the longest.
constexpr double first_part = 0.8;

// One fresh caller in twenty may bring less, and is then taken for one that
// came back: it goes behind fresh ones while there is a queue, no more.
constexpr double below = 0.05;
constexpr double step = 0.05;

// Callers come back after a refusal within a third of their time: this long
// after the last one those that come are fresh, or will not wait any more.
constexpr base::duration calm_after = std::chrono::seconds(10);

} // namespace

void first_attempt_estimator::asked(base::kind_id kind,
                                    base::duration time_left,
                                    base::instant now)
{
    const double seconds = seconds_of(time_left);
    const auto [found, first] =
        this->least.try_emplace(kind, first_part * seconds);
    if (first || now - this->disturbed_at < calm_after)
        return;
    double& low = found->second;
    low *= seconds < low ? 1 - step * (1 - below) : 1 + step * below;
}

bool first_attempt_estimator::came_back(base::kind_id kind,
                                        base::duration time_left) const
{
    const auto found = this->least.find(kind);
    return found != this->least.end() && seconds_of(time_left) < found->second;
}

} // namespace greengagedrum::traffic
