#include <greengagedrum/settings/daemon_settings.hpp>

#include <array>
#include <utility>

namespace greengagedrum::settings
{

namespace
{

placement_choice placement_from(std::string_view text)
{
    if (text == "round_robin")
        return placement_choice::round_robin;
    if (text == "least_reported")
        return placement_choice::least_reported;
    if (text == "least_outstanding")
        return placement_choice::least_outstanding;
    return placement_choice::scheduler;
}

std::size_t size(const parsed_settings& parsed, std::string_view name)
{
    return static_cast<std::size_t>(parsed.get<std::int64_t>(name));
}

std::chrono::milliseconds time(const parsed_settings& parsed,
                               std::string_view name)
{
    return parsed.get<std::chrono::milliseconds>(name);
}

void fill_identity(daemon_settings& values, const parsed_settings& parsed)
{
    values.instance = parsed.get<std::string>("instance");
    values.data_centre = parsed.get<std::string>("data-centre");
    values.listen_address = parsed.get<base::ip_endpoint>("listen-address");
    values.admin_address = parsed.get<base::ip_endpoint>("admin-address");
    values.peer_address = parsed.get<base::ip_endpoint>("peer-address");
    values.platform_addresses =
        parsed.get<std::vector<base::ip_endpoint>>("platform-addresses");
    values.peer_key = parsed.get<std::string>("peer-key");
    values.peer_key_previous = parsed.find<std::string>("peer-key-previous");
}

void fill_duties(daemon_settings& values, const parsed_settings& parsed)
{
    const auto level = logs::level_from(parsed.get<std::string>("log-level"));
    values.log_level = level.value_or(logs::level::info);
    if (parsed.get<std::string>("record-trace") == "stdout")
        values.record_trace = trace_target::standard_output;
    values.placement = placement_from(parsed.get<std::string>("placement"));
    values.stop_bound = time(parsed, "stop-bound-ms");
    values.caller_threads = size(parsed, "caller-threads");
    values.decision_ring = size(parsed, "decision-ring");
    values.body_bytes_max = size(parsed, "body-bytes-max");
    values.kept_answer_bytes = size(parsed, "kept-answer-bytes");
    values.kept_answer_time = time(parsed, "kept-answer-time-ms");
    values.connect_timeout = time(parsed, "connect-timeout-ms");
    values.progress_timeout = time(parsed, "progress-timeout-ms");
    values.retry_budget_percent =
        static_cast<unsigned>(size(parsed, "retry-budget-percent"));
    if (parsed.get<std::string>("claim-guard") == "platform_list")
        values.claim_guard = idempotency::lease_condition::platform_list;
    values.lease = time(parsed, "lease-ms");
    values.key_skew = time(parsed, "key-skew-ms");
    values.retry_window = time(parsed, "retry-window-ms");
    values.metric_series_max = size(parsed, "metric-series-max");
}

bool any_address(const base::ip_endpoint& value)
{
    return value.ip == "0.0.0.0" || value.ip == "::";
}

// Port 0 is "any free port", so two of them don't clash.
bool clash(const base::ip_endpoint& left, const base::ip_endpoint& right)
{
    if (left.port == 0 || left.port != right.port)
        return false;
    return left.ip == right.ip || any_address(left) || any_address(right);
}

// Two listeners on one port would fail only at the second bind, after the
// first has already taken callers.
void check_listeners(const parsed_settings& parsed, setting_faults& faults)
{
    constexpr std::array<std::string_view, 3> names = {
        "listen-address", "admin-address", "peer-address"};
    for (std::size_t later = 1; later < names.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const auto left = parsed.find<base::ip_endpoint>(names.at(earlier));
            const auto right = parsed.find<base::ip_endpoint>(names.at(later));
            if (!left || !right || !clash(*left, *right))
                continue;
            faults.push_back({"--" + std::string(names.at(later)),
                              to_string(*right),
                              "must not share the port of --" +
                                  std::string(names.at(earlier)) + " " +
                                  to_string(*left)});
        }
    }
}

// The list names a process by its address. Bound to any, the process can't
// tell its own line from its successor's, and both would grant a key.
void check_claim_guard(const parsed_settings& parsed, setting_faults& faults)
{
    const auto guard = parsed.find<std::string>("claim-guard");
    const auto address = parsed.find<base::ip_endpoint>("peer-address");
    if (!guard || *guard != "platform_list" || !address ||
        !any_address(*address))
        return;
    faults.push_back({"--peer-address",
                      to_string(*address),
                      "must be the listed address, by --claim-guard "
                      "platform_list"});
}

} // namespace

tl::expected<daemon_start, setting_faults>
parse_daemon(std::span<const std::string> arguments,
             const environment_lookup& environment)
{
    auto outcome = read_settings(daemon_table(), arguments, environment);
    const command wanted = outcome.parsed.wanted;
    if (wanted == command::help || wanted == command::version)
        return daemon_start{std::move(outcome.parsed), {}};
    check_listeners(outcome.parsed, outcome.faults);
    check_claim_guard(outcome.parsed, outcome.faults);
    if (!outcome.faults.empty())
        return tl::unexpected(std::move(outcome.faults));
    daemon_start start{std::move(outcome.parsed), {}};
    fill_identity(start.values, start.parsed);
    fill_duties(start.values, start.parsed);
    return start;
}

} // namespace greengagedrum::settings
