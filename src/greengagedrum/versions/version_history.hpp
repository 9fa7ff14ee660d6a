// The versions of each service that this entry has seen lately.
//
// It tells whether a stream can only have begun at one version. That takes a
// view without a gap for as long as records are kept: an entry that has just
// started, was paused, or lacked news of the store may have missed a version.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>
#include <greengagedrum/versions/messages.hpp>

#include <map>
#include <optional>
#include <span>
#include <utility>

namespace greengagedrum::versions
{

using service_version = std::pair<base::upstream_class_id, base::version_id>;

class version_history
{
public:
    // The versions of all usable upstreams; `complete`: of a whole listing.
    void set_present(std::span<const service_version> present,
                     bool complete,
                     base::instant now);

    // An upstream that has joined, and may have left at once.
    void add_seen(const service_version& seen, base::instant now);

    // The process was paused, or its view is not confirmed.
    void begin_anew() { this->complete_since.reset(); }

    // The version of all upstreams of the service for the whole lifetime of a
    // record, that there were several, or that it isn't known.
    finding seen(base::upstream_class_id service, base::instant now) const;

    // The same by what was seen since the start, however short that is.
    finding seen_so_far(base::upstream_class_id service,
                        base::instant now) const;

private:
    struct sighting {
        bool present = false;
        base::instant last_seen_at; // while not present
    };

    std::map<service_version, sighting> sightings;
    std::optional<base::instant> complete_since;
};

} // namespace greengagedrum::versions
