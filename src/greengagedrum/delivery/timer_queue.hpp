// The timers of requests, ordered by time.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/base/time.hpp>

#include <optional>
#include <set>
#include <utility>

namespace greengagedrum::delivery
{

struct request;

// An ordered index over the member `timer` of the requests. A request has at
// most one timer; setting it again replaces it.
class timer_queue
{
public:
    void set(request& item, base::instant at);
    void clear(request& item);

    // When the first timer fires, if any is set.
    std::optional<base::instant> next() const;

    // Removes one due timer and returns its request; none when no timer is due.
    // The member `timer` of the request is left for the caller to reset.
    std::optional<base::request_id> pop_due(base::instant now);

private:
    std::set<std::pair<base::instant, base::request_id>> entries;
};

} // namespace greengagedrum::delivery
