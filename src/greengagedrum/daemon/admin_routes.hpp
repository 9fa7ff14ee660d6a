// The operators' HTTP routes.
#pragma once

#include <functional>
#include <string>

namespace httplib
{
class Server;
}

namespace greengagedrum::daemon
{

// What the routes ask of the daemon.
struct admin_view {
    std::function<bool()> ready;
    std::function<std::string()> status;  // JSON
    std::function<std::string()> metrics; // Prometheus text
    std::function<void()> drain;
};

void add_admin_routes(httplib::Server& server, const admin_view& view);

} // namespace greengagedrum::daemon
