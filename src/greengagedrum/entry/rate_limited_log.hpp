// Log lines of decisions, bounded in rate.
//
// Failure guarded against: a burst of requests, or an outage that makes each of
// them fail, turns into as many lines, and writing them takes the processor
// that the requests need. Beyond the bound lines are counted and the count is
// logged.
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
               std::string_view duty,
               std::string_view event,
               std::initializer_list<logs::field> fields);

    std::uint64_t suppressed_lines() const { return this->held_total; }

private:
    double allowance = 0;
    base::instant filled_at;
    std::uint64_t held = 0; // since the last line
    std::uint64_t held_total = 0;
    bool begun = false;
};

} // namespace greengagedrum::entry
