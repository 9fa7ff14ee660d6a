// Outlier detection: whether an upstream may get requests, judged by the
// results of the requests sent to it.
//
// A suspected upstream gets one request at a time as a probe, at intervals that
// double up to a maximum. Few requests are lost, and a recovered upstream is in
// use again within about a second. Separate health checks are not used, since
// they do not show how requests end.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <string_view>

namespace greengagedrum::traffic
{

enum class failure_kind : std::uint8_t {
    unreachable, // connect failed
    silent,      // first event long overdue
    broken,      // an answer was interrupted
    failing,     // it answered with an error
};

std::string_view to_string(failure_kind what);

class outlier_detector
{
public:
    // `usual` is the failure rate of the whole service, so that a kind of
    // request that often fails by itself makes no upstream suspected.
    void record_failure(failure_kind what, double usual, base::instant now);
    void record_success();

    bool suspected() const { return this->suspect; }

    // True when a suspected upstream may be sent a probe now.
    bool may_probe(base::instant now) const
    {
        return this->suspect && !this->probing && now >= this->probe_at;
    }

    void probe_sent() { this->probing = true; }

    // The probe ended without evidence for or against the upstream.
    void probe_inconclusive() { this->probing = false; }

    // True while connects fail; no requests are sent then even if all other
    // upstreams are suspected.
    bool unreachable() const
    {
        return this->suspect && this->last == failure_kind::unreachable;
    }

    failure_kind last_failure() const { return this->last; }

    // Exponentially weighted share of failures.
    double failure_rate() const { return this->failures; }

private:
    void suspect_again(base::instant now);

    bool suspect = false;
    bool probing = false;
    failure_kind last = failure_kind::failing;
    double failures = 0;
    base::duration pause{0};
    base::instant probe_at;
};

} // namespace greengagedrum::traffic
