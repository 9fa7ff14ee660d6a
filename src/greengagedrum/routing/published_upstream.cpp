#include <greengagedrum/routing/published_upstream.hpp>

namespace greengagedrum::routing
{

base::upstream_id incarnation_id(std::string_view name,
                                 std::optional<std::uint64_t> started_unix_ms)
{
    if (!started_unix_ms)
        return base::upstream_id(name);
    return base::upstream_id(std::string(name) + '#' +
                             std::to_string(*started_unix_ms));
}

base::version_id service_version_id(std::string_view service,
                                    std::string_view version)
{
    // No name has a line break.
    std::string name(service);
    name.append("\n").append(version);
    return base::version_id(name);
}

} // namespace greengagedrum::routing
