// Lines of the log about calls to upstreams that failed, at most one a second:
// a dead upstream fails every call, and would fill the log.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/config/snapshot.hpp>
#include <greengagedrum/delivery/messages.hpp>
#include <greengagedrum/logs/repeat_limiter.hpp>

#include <string_view>

namespace greengagedrum::callers
{

class upstream_failures
{
public:
    // Calls that this instance stopped itself are no failure.
    void broken(const config::snapshot& snapshot,
                base::upstream_id upstream,
                delivery::break_cause cause);
    void refused(const config::snapshot& snapshot, base::upstream_id upstream);

private:
    void write(const config::snapshot& snapshot,
               base::upstream_id upstream,
               std::string_view cause);

    logs::repeat_limiter limiter{std::chrono::seconds(1)};
};

std::string_view to_string(delivery::break_cause cause);

} // namespace greengagedrum::callers
