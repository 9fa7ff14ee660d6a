#include <greengagedrum/platform/settings_file.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>

namespace greengagedrum::platform
{

namespace
{

// Reads fields by their dotted path and collects what is wrong with them.
class field_reader
{
public:
    field_reader(const toml::table& from, settings_faults& into)
        : table(from), faults(into)
    {
    }

    std::string text(std::string_view path)
    {
        const auto value = this->table.at_path(path).value<std::string>();
        if (!value || value->empty())
            this->faults.push_back(std::string(path) + ": text expected");
        return value.value_or("");
    }

    base::ip_endpoint endpoint(std::string_view path)
    {
        return this->parsed_endpoint(path, this->text(path));
    }

    base::ip_endpoint parsed_endpoint(std::string_view path,
                                      const std::string& value)
    {
        const auto parsed = base::parse_endpoint(value);
        if (!parsed && !value.empty())
            this->faults.push_back(std::string(path) +
                                   ": IP:port expected, not " + value);
        return parsed.value_or(base::ip_endpoint{});
    }

    // An absent bound keeps its default; a negative one is a fault.
    double number(std::string_view path, double otherwise)
    {
        const auto node = this->table.at_path(path);
        if (!node)
            return otherwise;
        const auto value = node.value<double>();
        if (value && *value >= 0)
            return *value;
        this->faults.push_back(std::string(path) +
                               ": a number of 0 or more expected");
        return otherwise;
    }

    base::duration
    time(std::string_view path, double unit_us, base::duration otherwise)
    {
        const double value = this->number(
            path, static_cast<double>(otherwise.count()) / unit_us);
        return base::duration(
            static_cast<base::duration::rep>(value * unit_us));
    }

    std::vector<base::ip_endpoint> endpoints(std::string_view path)
    {
        std::vector<base::ip_endpoint> out;
        const toml::array* list = this->table.at_path(path).as_array();
        if (list == nullptr)
            return out;
        for (const toml::node& one : *list)
            out.push_back(
                this->parsed_endpoint(path, one.value_or(std::string("?"))));
        return out;
    }

    // A table of texts; others are left out.
    routing::region_map texts(std::string_view path)
    {
        routing::region_map out;
        const toml::table* from = this->table.at_path(path).as_table();
        if (from == nullptr)
            return out;
        for (const auto& [key, value] : *from) {
            if (const auto text = value.value<std::string>())
                out.emplace(key.str(), *text);
        }
        return out;
    }

    bool lists(std::string_view path, std::string_view name)
    {
        const toml::array* list = this->table.at_path(path).as_array();
        return list != nullptr &&
               std::any_of(list->begin(), list->end(), [&](const auto& one) {
                   return one.template value_or<std::string>("") == name;
               });
    }

    std::uint16_t first_port(std::string_view path)
    {
        const toml::array* range = this->table.at_path(path).as_array();
        const std::int64_t port =
            range == nullptr || range->empty() ? 0 : (*range)[0].value_or(0LL);
        if (port > 0 && port <= std::numeric_limits<std::uint16_t>::max())
            return static_cast<std::uint16_t>(port);
        this->faults.push_back(std::string(path) +
                               ": a range of ports expected");
        return 0;
    }

private:
    const toml::table& table;
    settings_faults& faults;
};

constexpr double second = 1e6;
constexpr double millisecond = 1e3;
constexpr double megabyte = 1e6;
constexpr double bits_per_byte = 8;

// Lists upstreams that take few connections, and entries of several sizes.
constexpr std::string_view scarce_connections = "pressure";

void read_limits(field_reader& from, entry::settings& out)
{
    out.processors = from.number("limits.cpuQuota", out.processors);
    out.link_bytes_per_second =
        from.number("limits.linkMbps", 0) * megabyte / bits_per_byte;
    out.max_descriptors =
        static_cast<std::uint64_t>(from.number("limits.maxFds", 0));
    out.memory_bytes = static_cast<std::uint64_t>(
        from.number("limits.memoryMb", 0) * megabyte);
    out.keeps_connections = from.lists("contracts", scarce_connections);
}

entry::bounds read_bounds(field_reader& from)
{
    entry::bounds out;
    out.stop_timeout = from.time("bounds.graceS", second, out.stop_timeout);
    out.configuration_delay =
        from.time("bounds.configApplyMs", millisecond, out.configuration_delay);
    out.drain_delay = from.time("bounds.drainMs", millisecond, out.drain_delay);
    out.retry_ratio = from.number("bounds.retryBudgetRatio", out.retry_ratio);
    out.retry_window =
        from.time("bounds.retryWindowS", second, out.retry_window);
    out.retry_slack = from.number("bounds.retrySlack", out.retry_slack);
    out.usage_window =
        from.time("bounds.quotaWindowS", second, out.usage_window);
    out.usage_overshoot =
        from.number("bounds.quotaOvershoot", out.usage_overshoot);
    out.usage_slack = from.number("bounds.quotaSlack", out.usage_slack);
    out.warmup_overshoot =
        from.number("bounds.warmupOvershoot", out.warmup_overshoot);
    out.warmup_slack = from.number("bounds.warmupSlack", out.warmup_slack);
    out.evacuation_delay =
        from.time("bounds.evacuationMs", millisecond, out.evacuation_delay);
    return out;
}

} // namespace

tl::expected<entry::settings, settings_faults>
read_settings(std::string_view text)
{
    settings_faults faults;
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error& fault) {
        faults.emplace_back(fault.description());
        return tl::unexpected(faults);
    }
    field_reader from(table, faults);
    entry::settings out;
    out.instance = from.text("nodeName");
    out.data_centre = from.text("zone");
    out.regions = from.texts("zones");
    out.ip = from.text("ip");
    out.caller_address = from.endpoint("listen.frontend");
    out.readiness_address = from.endpoint("listen.readiness");
    out.control_address = from.endpoint("listen.controlPlane");
    out.peer_port = from.first_port("internalPortRange");
    out.seeds = from.endpoints("seedNodes");
    out.store_address = from.endpoint("platform.address");
    read_limits(from, out);
    out.duties_by_load =
        out.keeps_connections || routing::spans_regions(out.regions);
    out.bounds = read_bounds(from);
    if (!faults.empty())
        return tl::unexpected(faults);
    return out;
}

tl::expected<entry::settings, settings_faults>
read_settings_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(settings_faults{path + ": can't be read"});
    const std::string text{std::istreambuf_iterator<char>(file),
                           std::istreambuf_iterator<char>()};
    return read_settings(text);
}

} // namespace greengagedrum::platform
