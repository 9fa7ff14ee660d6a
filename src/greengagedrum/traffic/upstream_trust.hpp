// Whether one upstream may be given work, judged by how requests sent to it
// have ended.
//
// A suspect gets one request at a time as a probe, at intervals that double up
// to a bound: little is lost on it, and it is found well again within about a
// second, without health checks that say nothing of a request's end.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <string_view>

namespace greengagedrum::traffic
{

enum class trouble : std::uint8_t {
    unreachable, // no connection
    silent,      // no first event for long past its time
    broken,      // an answer broke off
    failing,     // it answer_received with a failure of its own
};

std::string_view to_string(trouble what);

class upstream_trust
{
public:
    // `usual`: the share of bad ends of the service as a whole, so that a kind
    // of request which often fails by itself puts no upstream under suspicion.
    void bad_end(trouble what, double usual, base::instant now);
    void good_end();

    bool suspected() const { return this->suspect; }

    // True for a suspect that may be sent its probe now.
    bool may_probe(base::instant now) const
    {
        return this->suspect && !this->probing && now >= this->probe_at;
    }

    void probe_sent() { this->probing = true; }

    // The probe ended in a way that says nothing.
    void probe_void() { this->probing = false; }

    // Connects fail: there is no use in sending whatever else is in trouble.
    bool unreachable() const
    {
        return this->suspect && this->last == trouble::unreachable;
    }

    trouble last_trouble() const { return this->last; }

    // Share of bad ends among the last few.
    double failure_rate() const { return this->bad; }

private:
    void doubt(base::instant now);

    bool suspect = false;
    bool probing = false;
    trouble last = trouble::failing;
    double bad = 0;
    base::duration pause{0};
    base::instant probe_at;
};

} // namespace greengagedrum::traffic
