// Estimates by how much later a request is answered because it crosses to
// another region.
//
// A request on a fresh connection crosses several times before its first event
// comes back: for the connect, for the request, and again for each further
// window of a large body. The round trip is learned for each region from the
// time that connects to its upstreams take.
#pragma once

#include <greengagedrum/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace greengagedrum::traffic
{

class crossing_estimator
{
public:
    void record_connect(const std::string& region, base::duration took);

    base::duration round_trip(const std::string& region) const;

    // For a request with that many prompt tokens.
    base::duration delay(const std::string& region,
                         std::uint32_t prompt_tokens) const;

private:
    std::map<std::string, base::duration> round_trips;
};

} // namespace greengagedrum::traffic
