#include <greengagedrum/platform/documents.hpp>
#include <greengagedrum/platform/json_numbers.hpp>
#include <greengagedrum/routing/route_table.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace greengagedrum::platform
{

namespace
{

using json = nlohmann::json;
using namespace std::string_literals;

// Microseconds.
constexpr double millisecond = 1e3;
constexpr double second = 1e6;

base::duration time_of(const json& from, const char* name, double unit)
{
    // Far above any timeout, and no sum with it overflows.
    constexpr base::duration most = std::chrono::hours(24);
    const double value = std::clamp(
        from.value(name, 0.0) * unit, 0.0, static_cast<double>(most.count()));
    return base::duration(static_cast<base::duration::rep>(value));
}

base::duration milliseconds_of(const json& from, const char* name)
{
    return time_of(from, name, millisecond);
}

routing::route_target read_target(const std::string& service, double weight)
{
    return {base::upstream_class_id(service), service, weight};
}

std::vector<routing::route_target> read_targets(const json& from)
{
    std::vector<routing::route_target> out;
    if (const auto split = from.find("trafficSplit"); split != from.end()) {
        for (const json& one : *split)
            out.push_back(read_target(one.at("service").get<std::string>(),
                                      one.value("weight", 1.0)));
    }
    // Without a split the route names one service.
    if (out.empty())
        out.push_back(read_target(from.at("service").get<std::string>(), 1));
    return out;
}

routing::retry_policy read_rule(const json& from)
{
    const auto type = from.value("routeType", "non_idempotent"s);
    if (type == "idempotent")
        return routing::retry_policy::idempotent;
    if (type == "streaming" && from.value("streamResume", false))
        return routing::retry_policy::resumable;
    return routing::retry_policy::at_most_once;
}

routing::route read_route(const json& from)
{
    routing::route out;
    out.name = from.at("name").get<std::string>();
    out.id = base::kind_id(out.name);
    out.host = routing::normalized_host(from.at("hostname").get<std::string>());
    out.prefix = from.at("prefix").get<std::string>();
    out.retry = read_rule(from);
    out.stream = from.value("routeType", ""s) == "streaming";
    out.anonymous = from.value("anonymous", false);
    out.priority = bounded_number(from, "priority", 0U);
    out.attempts_max = std::max(1U, bounded_number(from, "maxAttempts", 1U));
    out.timeout = milliseconds_of(from, "timeoutMs");
    out.latency_objective = milliseconds_of(from, "targetLatencyMs");
    out.event_gap_objective = milliseconds_of(from, "targetGapMs");
    out.targets = read_targets(from);
    out.regions = from.value("allowedRegions", std::vector<std::string>());
    return out;
}

routing::service read_service(const json& from)
{
    routing::service out;
    out.name = from.at("name").get<std::string>();
    out.id = base::upstream_class_id(out.name);
    out.engine = from.contains("engine");
    out.connections_max = bounded_number(from, "maxConnections", 0U);
    out.warmup = time_of(from, "warmupS", second);
    out.warmup_requests_per_second =
        std::max(0.0, from.value("warmupPerS", 0.0));
    return out;
}

routing::workspace read_workspace(const json& from)
{
    routing::workspace out;
    out.name = from.at("name").get<std::string>();
    out.id = base::workspace_id(out.name);
    out.keys = from.value("apiKeys", std::vector<std::string>());
    if (const auto own = from.find("priority"); own != from.end())
        out.priority = bounded_number<std::uint32_t>(*own);
    out.regions = from.value("allowedRegions", std::vector<std::string>());
    // Named for requests, but in the unit that `unit` says.
    out.limit.per_second = from.value("ratePerS", 0.0);
    out.limit.burst = from.value("burst", 0.0);
    out.limit.in_tokens = from.value("unit", ""s) == "tokens";
    // Not about a cache: what a request without a token count costs.
    out.limit.default_request_tokens = from.value("uncachedTokens", 0.0);
    return out;
}

// Throws what its caller reports: a value that no upstream writes.
[[noreturn]] void out_of_range(const char* name)
{
    throw std::out_of_range(std::string(name) + " is out of range");
}

// A whole number of at least `least`; throws for any other type as well.
std::uint64_t whole_number(const json& from, const char* name, int least)
{
    const json& value = from.at(name);
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() < static_cast<std::uint64_t>(least))
        out_of_range(name);
    return value.get<std::uint64_t>();
}

bool read_leaving(const json& from)
{
    const auto state = from.at("state").get<std::string>();
    if (state != "ready" && state != "draining")
        out_of_range("state");
    return state == "draining";
}

std::uint32_t read_slots(const json& from)
{
    // Far above any engine's batch.
    constexpr std::uint64_t most = 100'000;
    const std::uint64_t slots = whole_number(from, "slots", 1);
    if (slots > most)
        out_of_range("slots");
    return static_cast<std::uint32_t>(slots);
}

base::duration read_warmup(const json& from)
{
    const auto value = from.at("warmupRemainingMs").get<double>();
    if (value < 0)
        out_of_range("warmupRemainingMs");
    return milliseconds_of(from, "warmupRemainingMs");
}

// When this life of the upstream began; none where upstreams don't tell it.
std::optional<std::uint64_t> read_born(const json& from)
{
    if (!from.contains("born"))
        return std::nullopt;
    return whole_number(from, "born", 0);
}

routing::published_upstream read_upstream_fields(const json& from,
                                                 std::string_view name)
{
    routing::published_upstream out;
    out.name = name;
    out.started_unix_ms = read_born(from);
    out.id = routing::incarnation_id(name, out.started_unix_ms);
    const auto service = from.at("service").get<std::string>();
    out.service = base::upstream_class_id(service);
    const auto address = from.at("address").get<std::string>();
    const auto endpoint = base::parse_endpoint(address);
    if (!endpoint || endpoint->port == 0)
        out_of_range("address");
    out.address = *endpoint;
    out.data_centre = from.at("zone").get<std::string>();
    out.version = routing::service_version_id(
        service, from.at("version").get<std::string>());
    out.slots = read_slots(from);
    out.leaving = read_leaving(from);
    out.warmup = read_warmup(from);
    whole_number(from, "sequence", 0); // of its reports; the store orders them
    return out;
}

routing::caller_limits read_limits(const json& from)
{
    routing::caller_limits out;
    out.head_bytes = bounded_number(from, "maxHeaderBytes", std::size_t{0});
    out.body_bytes = bounded_number(from, "maxBodyBytes", std::size_t{0});
    out.head_timeout = milliseconds_of(from, "headerTimeoutMs");
    out.idle_timeout = milliseconds_of(from, "idleTimeoutMs");
    return out;
}

} // namespace

std::string_view upstream_name(std::string_view key)
{
    if (!key.starts_with(upstream_prefix))
        return {};
    return key.substr(upstream_prefix.size());
}

std::string_view evacuated_data_centre(std::string_view key)
{
    if (!key.starts_with(evacuation_prefix))
        return {};
    return key.substr(evacuation_prefix.size());
}

tl::expected<routing::configuration, std::string>
read_configuration(const routing::store_item& item)
{
    try {
        const json from = json::parse(item.value);
        routing::configuration out;
        out.version = bounded_number<std::int64_t>(from.at("version"));
        out.revision = item.revision;
        for (const json& one : from.at("routes"))
            out.routes.push_back(read_route(one));
        for (const json& one : from.value("services", json::array()))
            out.services.push_back(read_service(one));
        for (const json& one : from.value("tenants", json::array()))
            out.workspaces.push_back(read_workspace(one));
        out.limits = read_limits(from.value("limits", json::object()));
        return out;
    } catch (const json::exception& fault) {
        return tl::unexpected(std::string(fault.what()));
    }
}

tl::expected<routing::published_upstream, std::string>
read_upstream(const routing::store_item& item)
{
    if (item.value.size() > upstream_bytes_most)
        return tl::unexpected(std::string("too large"));
    try {
        const json from = json::parse(item.value);
        auto out = read_upstream_fields(from, upstream_name(item.key));
        out.revision = item.revision;
        return out;
    } catch (const json::exception& fault) {
        return tl::unexpected(std::string(fault.what()));
    } catch (const std::out_of_range& fault) {
        return tl::unexpected(std::string(fault.what()));
    }
}

} // namespace greengagedrum::platform
