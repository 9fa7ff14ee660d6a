// Limits the rate of log lines by a token bucket.
//
// Without a limit, a burst of requests, or an outage that makes all of them
// fail, produces as many lines, and writing them takes processor time away from
// the requests. Suppressed lines are counted, and the count is logged with the
// next line.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/logs/write.hpp>

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace greengagedrum::entry
{

class rate_limited_log
{
public:
    void write(base::instant now,
               std::string_view component,
               std::string_view event,
               std::initializer_list<logs::field> fields);

    std::uint64_t suppressed_lines() const { return this->suppressed_total; }

private:
    double tokens = 0;
    base::instant refilled_at;
    std::uint64_t suppressed = 0; // since the last line
    std::uint64_t suppressed_total = 0;
    bool started = false;
};

} // namespace greengagedrum::entry
