#include <greengagedrum/entry/rate_limited_log.hpp>
#include <greengagedrum/placement/seconds.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// An entry on a small instance handles 10 to 40 requests a second with four
// lines each; a line costs about 10 microseconds of processor time.
constexpr double lines_per_second = 300;
constexpr double burst_lines = 600;

} // namespace

void rate_limited_log::write(base::instant now,
                             std::string_view component,
                             std::string_view event,
                             std::initializer_list<logs::field> fields)
{
    if (!std::exchange(this->started, true)) {
        this->refilled_at = now;
        this->tokens = burst_lines;
    }
    const double passed = placement::seconds_of(now - this->refilled_at);
    this->refilled_at = now;
    this->tokens =
        std::min(burst_lines, this->tokens + passed * lines_per_second);
    if (this->tokens < 1) {
        this->suppressed += 1;
        this->suppressed_total += 1;
        return;
    }
    this->tokens -= 1;
    if (this->suppressed > 0)
        logs::write(logs::level::warning,
                    "logs",
                    "lines_held_back",
                    {{"count", std::exchange(this->suppressed, 0)}});
    logs::write(logs::level::info, component, event, fields);
}

} // namespace greengagedrum::entry
