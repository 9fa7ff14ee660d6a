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
constexpr double lines_at_once = 600;

} // namespace

void rate_limited_log::write(base::instant now,
                             std::string_view duty,
                             std::string_view event,
                             std::initializer_list<logs::field> fields)
{
    if (!std::exchange(this->begun, true)) {
        this->filled_at = now;
        this->allowance = lines_at_once;
    }
    const double passed = placement::seconds_of(now - this->filled_at);
    this->filled_at = now;
    this->allowance =
        std::min(lines_at_once, this->allowance + passed * lines_per_second);
    if (this->allowance < 1) {
        this->held += 1;
        this->held_total += 1;
        return;
    }
    this->allowance -= 1;
    if (this->held > 0)
        logs::write(logs::level::warning,
                    "logs",
                    "lines_held_back",
                    {{"count", std::exchange(this->held, 0)}});
    logs::write(logs::level::info, duty, event, fields);
}

} // namespace greengagedrum::entry
