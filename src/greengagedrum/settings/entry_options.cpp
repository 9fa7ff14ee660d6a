#include <greengagedrum/settings/entry_options.hpp>

namespace greengagedrum::settings
{

namespace
{

constexpr std::size_t path_most = 4096; // Linux's PATH_MAX
constexpr std::int64_t port_most = 65535;

const std::vector<setting>& entry_settings()
{
    static const std::vector<setting> all = {
        {.name = "settings-file",
         .help = "The platform's settings file; the platform names it by a "
                 "variable of its own.",
         .type = text_type{1, path_most},
         .fallback = {}},
        {.name = "log-level",
         .help = "Least severe lines that are written.",
         .type = choice_type{{"debug", "info", "warning", "error"}},
         .fallback = "info"},
        // The deploy file names the port to the platform, which does not tell
        // it to the process.
        {.name = "metrics-port",
         .help = "Where metrics are served, at the instance's own address.",
         .type = integer_type{1, port_most},
         .fallback = "9464"}};
    return all;
}

} // namespace

const setting_table& entry_table()
{
    static const setting_table table{
        "greengagedrum-entry",
        "0.1.0",
        "An entry on instances whose platform writes the settings file.",
        "GREENGAGEDRUM_",
        entry_settings()};
    return table;
}

tl::expected<entry_start, setting_faults>
parse_entry(std::span<const std::string> arguments,
            const environment_lookup& environment)
{
    auto parsed = parse(entry_table(), arguments, environment);
    if (!parsed)
        return tl::unexpected(parsed.error());
    entry_start out{*parsed, {}};
    if (parsed->wanted == command::help || parsed->wanted == command::version)
        return out;
    out.values.settings_file = parsed->find<std::string>("settings-file");
    out.values.log_level =
        logs::level_from(parsed->get<std::string>("log-level"))
            .value_or(logs::level::info);
    out.values.metrics_port =
        static_cast<std::uint16_t>(parsed->get<std::int64_t>("metrics-port"));
    return out;
}

} // namespace greengagedrum::settings
