#include <greengagedrum/config/call_budget.hpp>

#include <algorithm>
#include <chrono>

namespace greengagedrum::config
{

call_budget::call_budget(double per_second, double burst)
    : rate(per_second), most(burst), left(burst)
{
}

bool call_budget::take(base::instant now)
{
    const std::chrono::duration<double> passed = now - this->filled;
    this->filled = std::max(this->filled, now);
    const double gained = std::max(0.0, passed.count()) * this->rate;
    this->left = std::min(this->most, this->left + gained);
    if (this->left < 1.0)
        return false;
    this->left -= 1.0;
    return true;
}

} // namespace greengagedrum::config
