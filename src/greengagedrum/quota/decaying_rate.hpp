// An exponentially decaying average rate, with the time constant
// `time_constant_s`.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/placement/seconds.hpp>

#include <cmath>

namespace greengagedrum::quota
{

class decaying_rate
{
public:
    void add(double amount, base::instant now)
    {
        this->sum = this->decayed_sum(now) + amount;
        this->last = now;
    }

    double per_second(base::instant now) const
    {
        return this->decayed_sum(now) / time_constant_s;
    }

private:
    // Seconds. A dozen requests of several thousand tokens each weigh about
    // alike, and a caller's burst still shows.
    static constexpr double time_constant_s = 4;

    double decayed_sum(base::instant now) const
    {
        return this->sum * std::exp(-placement::seconds_of(now - this->last) /
                                    time_constant_s);
    }

    double sum = 0;
    base::instant last;
};

} // namespace greengagedrum::quota
