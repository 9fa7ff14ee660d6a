// An exponentially decaying sum of what recent events amounted to.
#pragma once

#include <greengagedrum/base/time.hpp>

namespace greengagedrum::traffic
{

class decaying_count
{
public:
    // `memory`: the time constant in seconds.
    explicit decaying_count(double memory) : memory(memory) {}

    void add(base::instant now, double amount = 1);
    double at(base::instant now) const;
    double per_second(base::instant now) const;

private:
    double memory;
    double sum = 0;
    base::instant last;
};

} // namespace greengagedrum::traffic
