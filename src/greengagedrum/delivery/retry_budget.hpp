// How many retries are allowed, as a fraction of fresh work.
//
// Failure guarded against: a retry storm. When upstreams fail for want of
// capacity, each retry adds load and makes more requests fail. Fresh requests
// add a fraction of a retry each, up to a bound, so retries can never be more
// than that fraction of the work for long.
#pragma once

namespace greengagedrum::delivery
{

class retry_budget
{
public:
    // `fraction`: retries earned by one fresh request; `bound`: the most saved.
    retry_budget(double fraction, double bound)
        : fraction(fraction), bound(bound), balance(bound)
    {
    }

    void deposit();
    bool try_withdraw(); // false: no retry left

private:
    double fraction;
    double bound;
    double balance;
};

} // namespace greengagedrum::delivery
