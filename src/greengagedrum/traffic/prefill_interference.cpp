#include <greengagedrum/traffic/prefill_interference.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// Share of pauses that exceed the estimate. At the usual load, one in twelve
// events waits for a prompt, and half of these prompts reach the bound. Network
// stalls are far rarer.
constexpr double above = 0.01;

// Relative step of the estimate for one pause. About a hundred events, a second
// of an entry's work, move it from the usual pause to the longest.
constexpr double step = 0.03;

// A longer pause has another cause than prefill.
constexpr double tokens_most = 20'000;

} // namespace

void prefill_interference::add_pause(double tokens)
{
    const double pause_tokens = std::clamp(tokens, 1.0, tokens_most);
    if (this->high <= 0)
        this->high = pause_tokens;
    else if (pause_tokens > this->high)
        this->high *= 1 + step * (1 - above);
    else
        this->high *= 1 - step * above;
}

} // namespace greengagedrum::traffic
