// A token bucket: bounds how often something may be done.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::config
{

class call_budget
{
public:
    // Full at first: `burst` calls at once, then `per_second` of them.
    call_budget(double per_second, double burst);

    // False when the call has to wait.
    [[nodiscard]] bool take(base::instant now);

private:
    double rate;
    double most;
    double left;
    base::instant filled{};
};

} // namespace greengagedrum::config
