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

void print(const bounds& bounds, std::ostream& out)
{
    out << "stop_ms = " << milliseconds_of(bounds.stop_timeout) << '\n'
        << "configuration_ms = " << milliseconds_of(bounds.configuration_delay)
        << '\n'
        << "drain_ms = " << milliseconds_of(bounds.drain_delay) << '\n'
        << "retry_ratio = " << bounds.retry_ratio << '\n'
        << "retry_window_ms = " << milliseconds_of(bounds.retry_window) << '\n'
        << "retry_slack = " << bounds.retry_slack << '\n'
        << "usage_window_ms = " << milliseconds_of(bounds.usage_window) << '\n'
        << "usage_overshoot = " << bounds.usage_overshoot << '\n'
        << "usage_slack = " << bounds.usage_slack << '\n'
        << "warmup_overshoot = " << bounds.warmup_overshoot << '\n'
        << "warmup_slack = " << bounds.warmup_slack << '\n'
        << "evacuation_ms = " << milliseconds_of(bounds.evacuation_delay)
        << '\n';
}

} // namespace

std::string to_text(const settings& values)
{
    std::ostringstream out;
    out << "instance = " << values.instance << '\n'
        << "data_centre = " << values.data_centre << '\n'
        << "callers = " << base::to_string(values.caller_address) << '\n'
        << "readiness = " << base::to_string(values.readiness_address) << '\n'
        << "control = " << base::to_string(values.control_address) << '\n'
        << "metrics = " << base::to_string(values.metrics_address) << '\n'
        << "peer_port = " << values.peer_port << '\n'
        << "store = " << base::to_string(values.store_address) << '\n'
        << "processors = " << values.processors << '\n'
        << "memory_bytes = " << values.memory_bytes << '\n'
        << "link_bytes_per_second = " << values.link_bytes_per_second << '\n'
        << "max_descriptors = " << values.max_descriptors << '\n';
    for (const base::ip_endpoint& seed : values.seeds)
        out << "seed = " << base::to_string(seed) << '\n';
    for (const auto& [data_centre, region] : values.regions)
        out << "region of " << data_centre << " = " << region << '\n';
    print(values.bounds, out);
    return out.str();
}

} // namespace greengagedrum::entry
