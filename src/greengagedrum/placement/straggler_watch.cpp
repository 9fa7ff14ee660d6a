#include <greengagedrum/placement/straggler_watch.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

constexpr double window = 8;       // tokens that a judgement rests on
constexpr double enough = 4;       // the fewest tokens to judge by
constexpr double slow_ratio = 3;   // from here on suspected
constexpr double normal_ratio = 2; // below, cleared
constexpr double ratio_bound = 12; // one bad gap alone decides nothing

constexpr base::duration first_interval = std::chrono::milliseconds(500);
constexpr base::duration last_interval = std::chrono::seconds(30);

// A class may have no idempotent work to probe with. After this time without a
// failure the upstream is tried as if nothing had been.
constexpr base::duration forgiving = std::chrono::seconds(90);

// An urgent request is a probe only when nothing else came for so long.
constexpr int urgent_wait = 4;

} // namespace

bool straggler_watch::measured(double count, double ratio, base::instant now)
{
    const double weight = std::min(count, window);
    const double kept =
        std::min(1.0, window / std::max(window, this->tokens + weight));
    this->tokens = (this->tokens + weight) * kept;
    this->excess =
        (this->excess + weight * std::min(ratio, ratio_bound)) * kept;
    if (this->tokens < enough)
        return false;
    const double mean = this->excess / this->tokens;
    if (mean >= slow_ratio) {
        if (this->suspected(now)) {
            this->forgiven_at = now + forgiving;
            return false;
        }
        this->failed(suspicion::slow, now);
        return true;
    }
    if (this->cause != suspicion::none && mean < normal_ratio) {
        *this = straggler_watch();
        return true;
    }
    return false;
}

void straggler_watch::failed(suspicion why, base::instant now)
{
    if (this->cause == suspicion::none)
        this->interval = first_interval;
    this->cause = why;
    this->next_probe = now + this->interval;
    this->forgiven_at = now + forgiving;
    // What comes back is judged by what it does from now on.
    this->tokens = 0;
    this->excess = 0;
}

void straggler_watch::probed(base::instant now)
{
    this->interval = std::min(this->interval * 2, last_interval);
    this->next_probe = now + this->interval;
}

// A refused connect leaves the request not run, so there any kind will do;
// else a probe may have to be run again elsewhere.
bool straggler_watch::may_probe(const base::request_spec& item,
                                base::instant now) const
{
    const bool harmless = this->cause == suspicion::refused ||
                          item.repetition == base::repetition::idempotent;
    if (!harmless || now < this->next_probe)
        return false;
    return item.tier != base::tier::urgent ||
           now >= this->next_probe + urgent_wait * this->interval;
}

} // namespace greengagedrum::placement
