#include <greengagedrum/entry/settings.hpp>

#include <sstream>

namespace greengagedrum::entry
{

namespace
{

std::int64_t milliseconds_of(base::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void print(const bounds& given, std::ostream& out)
{
    out << "stop_ms = " << milliseconds_of(given.stop_timeout) << '\n'
        << "configuration_ms = " << milliseconds_of(given.configuration_delay)
        << '\n'
        << "drain_ms = " << milliseconds_of(given.drain_delay) << '\n'
        << "retry_ratio = " << given.retry_ratio << '\n'
        << "retry_window_ms = " << milliseconds_of(given.retry_window) << '\n'
        << "retry_slack = " << given.retry_slack << '\n'
        << "usage_window_ms = " << milliseconds_of(given.usage_window) << '\n'
        << "usage_overshoot = " << given.usage_overshoot << '\n'
        << "usage_slack = " << given.usage_slack << '\n'
        << "warmup_overshoot = " << given.warmup_overshoot << '\n'
        << "warmup_slack = " << given.warmup_slack << '\n'
        << "evacuation_ms = " << milliseconds_of(given.evacuation_delay)
        << '\n';
}

} // namespace

std::string to_text(const settings& given)
{
    std::ostringstream out;
    out << "instance = " << given.instance << '\n'
        << "data_centre = " << given.data_centre << '\n'
        << "callers = " << base::to_string(given.caller_address) << '\n'
        << "readiness = " << base::to_string(given.readiness_address) << '\n'
        << "control = " << base::to_string(given.control_address) << '\n'
        << "metrics = " << base::to_string(given.metrics_address) << '\n'
        << "peer_port = " << given.peer_port << '\n'
        << "store = " << base::to_string(given.store_address) << '\n'
        << "processors = " << given.processors << '\n';
    for (const base::ip_endpoint& seed : given.seeds)
        out << "seed = " << base::to_string(seed) << '\n';
    for (const auto& [data_centre, region] : given.regions)
        out << "region of " << data_centre << " = " << region << '\n';
    print(given.bounds, out);
    return out.str();
}

} // namespace greengagedrum::entry
