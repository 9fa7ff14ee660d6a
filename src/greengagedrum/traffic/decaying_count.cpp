#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/traffic/decaying_count.hpp>

#include <cmath>

namespace greengagedrum::traffic
{

void decaying_count::add(base::instant now, double amount)
{
    this->sum = this->at(now) + amount;
    this->last = now;
}

double decaying_count::at(base::instant now) const
{
    const double passed = placement::seconds_of(now - this->last);
    return this->sum * std::exp(-passed / this->memory);
}

double decaying_count::per_second(base::instant now) const
{
    return this->at(now) / this->memory;
}

} // namespace greengagedrum::traffic
