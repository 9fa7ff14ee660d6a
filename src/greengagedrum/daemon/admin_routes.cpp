#include <greengagedrum/daemon/admin_routes.hpp>
#include <greengagedrum/logs/write.hpp>
#include <greengagedrum/telemetry/prometheus_text.hpp>

#include <httplib.h>

namespace greengagedrum::daemon
{

namespace
{
constexpr int status_unavailable = 503;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr auto text_type = "text/plain";

// Takes one word: debug, info, warning or error.
void set_log_level(const httplib::Request& request, httplib::Response& to)
{
    const std::string& body = request.body;
    const std::size_t end = body.find_last_not_of(" \r\n");
    const auto level = logs::level_from(
        std::string_view(body).substr(0, end == body.npos ? 0 : end + 1));
    if (!level) {
        to.status = status_bad_request;
        to.set_content("debug, info, warning or error is expected\n",
                       text_type);
        return;
    }
    logs::set_level(*level);
    logs::write(logs::level::info,
                "daemon",
                "log_level_changed",
                {{"to", logs::to_string(*level)}});
    to.set_content(std::string(logs::to_string(*level)) + "\n", text_type);
}

} // namespace

void add_admin_routes(httplib::Server& server, const admin_view& view)
{
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& to) {
        to.set_content("ok\n", text_type);
    });
    server.Get("/readyz",
               [view](const httplib::Request&, httplib::Response& to) {
                   const bool ready = view.ready();
                   if (!ready)
                       to.status = status_unavailable;
                   to.set_content(ready ? "ready\n" : "not ready\n", text_type);
               });
    server.Get("/status",
               [view](const httplib::Request&, httplib::Response& to) {
                   to.set_content(view.status(), "application/json");
               });
    server.Get("/metrics",
               [view](const httplib::Request&, httplib::Response& to) {
                   to.set_content(
                       view.metrics(),
                       std::string(telemetry::prometheus_content_type).c_str());
               });
    server.Put("/loglevel",
               [](const httplib::Request& request, httplib::Response& to) {
                   set_log_level(request, to);
               });
    server.Post("/drain",
                [view](const httplib::Request&, httplib::Response& to) {
                    view.drain();
                    to.status = status_accepted;
                    to.set_content("draining\n", text_type);
                });
}

} // namespace greengagedrum::daemon
