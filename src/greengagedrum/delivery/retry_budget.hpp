// Limits retries to a fraction of the new requests.
#pragma once

namespace greengagedrum::delivery
{

// A retry budget as in Finagle and Envoy. It prevents retry storms: when
// upstreams fail for lack of capacity, each retry adds load and makes more
// requests fail. Each new request deposits a fraction of a retry, up to a
// maximum balance, so retries can't exceed that fraction of the new requests
// for long.
class retry_budget
{
public:
    // `fraction`: retries deposited per new request. `bound`: the maximum
    // balance, which is also the initial one.
    retry_budget(double fraction, double bound)
        : fraction(fraction), bound(bound), balance(bound)
    {
    }

    void deposit();
    bool try_withdraw(); // false: no retry is allowed now

private:
    double fraction;
    double bound;
    double balance;
};

} // namespace greengagedrum::delivery
