#include <greengagedrum/daemon/clock.hpp>
#include <greengagedrum/daemon/part_options.hpp>

namespace greengagedrum::daemon
{

namespace
{

placement::policy_choice policy_of(settings::placement_choice choice)
{
    switch (choice) {
    case settings::placement_choice::scheduler:
        return placement::policy_choice::scheduler;
    case settings::placement_choice::round_robin:
        return placement::policy_choice::round_robin;
    case settings::placement_choice::least_reported:
        return placement::policy_choice::least_reported;
    case settings::placement_choice::least_outstanding:
        return placement::policy_choice::least_outstanding;
    }
    return placement::policy_choice::scheduler;
}

} // namespace

std::vector<std::string>
texts_of(const std::vector<base::ip_endpoint>& addresses)
{
    std::vector<std::string> out;
    out.reserve(addresses.size());
    for (const base::ip_endpoint& address : addresses)
        out.push_back(base::to_string(address));
    return out;
}

delivery::scheduler_options
options_of(const settings::daemon_settings& settings, base::incarnation life)
{
    constexpr double percent = 100.0;
    delivery::scheduler_options out;
    out.slot = base::slot_id(settings.instance);
    out.incarnation = life;
    out.data_centre = base::data_centre_id(settings.data_centre);
    out.seed = life.value;
    out.placement.policy = policy_of(settings.placement);
    out.placement.patience_floor = settings.progress_timeout;
    out.desk.started_wall =
        std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    out.desk.started = clock_now();
    out.desk.answer_bytes_max = settings.kept_answer_bytes;
    out.desk.answer_age_max = settings.kept_answer_time;
    out.desk.lease = settings.lease;
    out.desk.clock_skew = settings.key_skew;
    out.desk.retry_window = settings.retry_window;
    out.desk.condition = settings.claim_guard;
    out.retry_fraction = settings.retry_budget_percent / percent;
    return out;
}

upstreams::pool_options pool_of(const settings::daemon_settings& settings)
{
    upstreams::pool_options out;
    out.connect_timeout = settings.connect_timeout;
    return out;
}

http::server_settings caller_server(const settings::daemon_settings& settings)
{
    http::server_settings out;
    out.threads_max = settings.caller_threads;
    out.payload_max = settings.body_bytes_max;
    return out;
}

std::optional<std::string>
previous_key(const settings::daemon_settings& settings)
{
    if (!settings.peer_key_previous)
        return std::nullopt;
    return ticket_key_prefix + *settings.peer_key_previous;
}

peer_duty_options peers_of(const settings::daemon_settings& settings,
                           base::incarnation life)
{
    peer_duty_options out;
    out.roster.slot = base::slot_id(settings.instance);
    out.roster.incarnation = life;
    out.roster.data_centre = base::data_centre_id(settings.data_centre);
    out.roster.lease = settings.lease;
    out.address = base::to_string(settings.peer_address);
    out.key = settings.peer_key;
    out.previous_key = settings.peer_key_previous;
    out.seed = life.value;
    out.pull_documents = false; // the spreader decides whom to ask
    return out;
}

document_duty_options documents_of(const settings::daemon_settings& settings,
                                   base::incarnation life)
{
    document_duty_options out;
    out.spread.own = base::slot_id(settings.instance);
    out.data_centre = base::data_centre_id(settings.data_centre);
    out.platform_addresses = texts_of(settings.platform_addresses);
    out.seed = life.value;
    return out;
}

upstreams::poll_options polls_of(const settings::daemon_settings& settings,
                                 base::incarnation life)
{
    upstreams::poll_options out;
    out.data_centre = settings.data_centre;
    out.seed = life.value;
    return out;
}

http::server_settings admin_server()
{
    constexpr std::size_t threads = 8;
    http::server_settings out;
    out.threads_max = threads;
    return out;
}

} // namespace greengagedrum::daemon
