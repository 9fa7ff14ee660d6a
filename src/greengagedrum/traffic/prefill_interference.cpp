#include <greengagedrum/traffic/prefill_interference.hpp>

#include <algorithm>

namespace greengagedrum::traffic
{

namespace
{

// One in a hundred pauses is longer. At the usual load one in twelve events
// waits for a prompt, and half of those prompts fill the bound; stalls of
// networks are far rarer.
constexpr double above = 0.01;

// Share by which one pause moves the estimate: some hundred events, a second
// of an entry's work, take it from the usual pause to the longest.
constexpr double step = 0.03;

// Beyond this the pause has another cause than reading.
constexpr double tokens_most = 20'000;

} // namespace

void prefill_interference::seen(double tokens)
{
    const double held = std::clamp(tokens, 1.0, tokens_most);
    if (this->high <= 0)
        this->high = held;
    else if (held > this->high)
        this->high *= 1 + step * (1 - above);
    else
        this->high *= 1 - step * above;
}

} // namespace greengagedrum::traffic
