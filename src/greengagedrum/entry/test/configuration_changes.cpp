#include <greengagedrum/entry/test/configuration_changes.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

void set_routes(configuration_change_fixture& to,
                const char* field,
                const json& value)
{
    for (json& one : to.configuration["routes"])
        one[field] = value;
    to.publish_configuration();
}

void set_limit(configuration_change_fixture& to, const char* field, int value)
{
    to.configuration["limits"][field] = value;
    to.publish_configuration();
}

void set_workspace(configuration_change_fixture& to,
                   const char* field,
                   const json& value)
{
    to.configuration["tenants"][0][field] = value;
    to.publish_configuration();
}

} // namespace

const std::vector<configuration_change>& changes()
{
    using fixture = configuration_change_fixture;
    static const std::vector<configuration_change> all = {
        {"idle_timeout_shorter",
         [](fixture& to) { set_limit(to, "idleTimeoutMs", 100); },
         {},
         false,
         false,
         1300ms}, // the time-out and the margin after it
        {"idle_timeout_longer",
         [](fixture& to) { set_limit(to, "idleTimeoutMs", 60'000); },
         {}},
        {"route_timeout_shorter",
         [](fixture& to) { set_routes(to, "timeoutMs", 1500); },
         {}},
        {"routes_go",
         [](fixture& to) {
             to.configuration["routes"] = json::array();
             to.publish_configuration();
         },
         {404},
         true},
        {"route_comes",
         [](fixture& to) {
             const json added = {{"name", "/once/deeper/"},
                                 {"hostname", "hall.example"},
                                 {"prefix", "/once/deeper/"},
                                 {"routeType", "idempotent"},
                                 {"service", "models"}};
             to.configuration["routes"].push_back(added);
             to.publish_configuration();
         },
         {}},
        {"target_weights",
         [](fixture& to) {
             set_routes(to,
                        "trafficSplit",
                        {{{"service", "models"}, {"weight", 1}},
                         {{"service", "spare"}, {"weight", 3}}});
         },
         {}},
        {"workspace_goes",
         [](fixture& to) {
             to.configuration["tenants"].erase(0);
             to.publish_configuration();
         },
         {401},
         true},
        {"workspace_goes_and_comes",
         [](fixture& to) {
             const json all_workspaces = to.configuration["tenants"];
             to.configuration["tenants"].erase(0);
             to.publish_configuration();
             std::this_thread::sleep_for(change_interval);
             to.configuration["tenants"] = all_workspaces;
             to.publish_configuration();
         },
         {401}},
        {"key_revoked",
         [](fixture& to) { set_workspace(to, "apiKeys", {"key-2"}); },
         {401},
         true},
        {"rate_limit",
         [](fixture& to) {
             to.configuration["tenants"][0]["burst"] = 0.5;
             set_workspace(to, "ratePerS", 0.5);
         },
         {429}},
        {"head_bound",
         [](fixture& to) { set_limit(to, "maxHeaderBytes", 32); },
         {431}},
        {"body_bound",
         [](fixture& to) { set_limit(to, "maxBodyBytes", 16); },
         {413}},
        {"head_timeout",
         [](fixture& to) { set_limit(to, "headerTimeoutMs", 1); },
         {408}},
        {"evacuation",
         [](fixture& to) { to.set_evacuated(true); },
         {503},
         true,
         true},
        {"allowed_regions_of_routes",
         [](fixture& to) { set_routes(to, "allowedRegions", {"elsewhere"}); },
         {503},
         true},
        {"allowed_regions_of_workspace",
         [](fixture& to) {
             set_workspace(to, "allowedRegions", {"elsewhere"});
         },
         {503},
         true},
        {"settings_reload",
         [](fixture& to) {
             to.reload_settings({{"hall", "there"}});
         },
         {}},
    };
    return all;
}

} // namespace greengagedrum::entry
