// What each part of the daemon is told of the settings.
#pragma once

#include <greengagedrum/daemon/document_duty.hpp>
#include <greengagedrum/daemon/peer_duty.hpp>
#include <greengagedrum/delivery/scheduler.hpp>
#include <greengagedrum/http/server_settings.hpp>
#include <greengagedrum/settings/daemon_settings.hpp>
#include <greengagedrum/upstreams/connection_pool.hpp>
#include <greengagedrum/upstreams/report_poller.hpp>

#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::daemon
{

// Tickets are signed by a key of their own, drawn from the peers' by a prefix,
// so that no signature of one sort can stand for one of the other.
inline constexpr auto ticket_key_prefix = "ticket:";

// "IP:port" each.
std::vector<std::string>
texts_of(const std::vector<base::ip_endpoint>& addresses);

delivery::scheduler_options
options_of(const settings::daemon_settings& settings, base::incarnation life);

upstreams::pool_options pool_of(const settings::daemon_settings& settings);

http::server_settings caller_server(const settings::daemon_settings& settings);

std::optional<std::string>
previous_key(const settings::daemon_settings& settings);

peer_duty_options peers_of(const settings::daemon_settings& settings,
                           base::incarnation life);

document_duty_options documents_of(const settings::daemon_settings& settings,
                                   base::incarnation life);

upstreams::poll_options polls_of(const settings::daemon_settings& settings,
                                 base::incarnation life);

http::server_settings admin_server();

} // namespace greengagedrum::daemon
