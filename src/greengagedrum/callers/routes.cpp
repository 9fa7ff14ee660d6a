#include <greengagedrum/callers/body_bounds.hpp>
#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/callers/context.hpp>
#include <greengagedrum/callers/request_port.hpp>
#include <greengagedrum/callers/routes.hpp>
#include <greengagedrum/callers/session.hpp>
#include <greengagedrum/delivery/unclaimed_verdict.hpp>
#include <greengagedrum/http/current_connection.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <exception>

namespace greengagedrum::callers
{

namespace
{

constexpr auto request_route = R"(/v1/workspaces/([^/]{1,128})/([^/]{1,128}))";
constexpr base::duration not_ready_hint = std::chrono::seconds(1);
constexpr std::chrono::milliseconds ticket_wait(1000);
constexpr base::duration stopping_hint = std::chrono::milliseconds(100);

// Without a configuration its kind is not known: a repeat of a request that
// ran through another entry must not be told not_run.
base::verdict not_configured(const httplib::Request& request)
{
    base::verdict out =
        base::not_run(base::reason::not_configured, not_ready_hint);
    if (request.has_header("Ticket") || request.has_header("Idempotency-Key"))
        out.run = base::run_state::may_have_run;
    return out;
}

void take_request(const httplib::Request& request,
                  httplib::Response& response,
                  context& shared)
{
    auto snapshot = shared.config.get();
    if (!snapshot)
        return write_verdict(not_configured(request), response);
    auto read = read_request(request, std::move(snapshot), shared.tickets);
    if (!read)
        return write_problem(read.error(), response);
    if (shared.stopping)
        return write_verdict(delivery::unclaimed_verdict(read->arrival,
                                                         base::reason::stopping,
                                                         stopping_hint),
                             response);
    std::make_shared<session>(shared, std::move(*read))->serve(response);
}

// A ticket before the request, for callers that must not lose it.
void give_ticket(const httplib::Request& request,
                 httplib::Response& response,
                 context& shared)
{
    const auto snapshot = shared.config.get();
    if (!snapshot || shared.stopping)
        return write_verdict(
            base::not_run(base::reason::not_configured, not_ready_hint),
            response);
    const auto workspace =
        authenticate(request, *snapshot, request.get_header_value("Workspace"));
    if (!workspace)
        return write_problem(workspace.error(), response);
    const auto port = std::make_shared<request_port>();
    const base::request_id id{shared.next_request.fetch_add(1)};
    const bool sent =
        shared.events.push(ticket_arrival{delivery::ticket_wanted{id}, port});
    const auto given = sent ? port->wait(ticket_wait) : std::nullopt;
    const auto* made =
        given ? std::get_if<delivery::assign_ticket>(&*given) : nullptr;
    if (made == nullptr)
        return write_verdict(
            base::not_run(base::reason::internal, not_ready_hint), response);
    const nlohmann::json body = {
        {"ticket", shared.tickets.encode(made->ticket, (*workspace)->id)}};
    response.status = static_cast<int>(http_status::created);
    response.set_content(body.dump(), "application/json");
}

void refuse_method(httplib::Response& response)
{
    response.set_header("Allow", "POST");
    write_problem(
        problem{http_status::method_not_allowed, "POST is expected here"},
        response);
}

std::string title_of(http_status status)
{
    switch (status) {
    case http_status::not_found:
        return "no such resource";
    case http_status::uri_too_long:
        return "the path is too long";
    default:
        return "the request can't be read";
    }
}

// What httplib itself refused gets the same form as every other error. Where
// it could not read the request, what comes after it can't be told apart.
void describe_error(httplib::Response& response)
{
    if (!response.body.empty())
        return;
    auto status = static_cast<http_status>(response.status);
    if (status != http_status::not_found)
        http::close_current_connection();
    std::string title = title_of(status);
    // Bodies over the bound were refused before, so this is a form over the
    // 8 KB that httplib takes.
    if (status == http_status::payload_too_large) {
        status = http_status::unsupported_media_type;
        title = "Content-Type: application/json is expected";
    }
    write_problem(problem{status, std::move(title)}, response);
}

// A handler failed (out of memory). Whether its request was handed over by
// then is not known here.
void describe_failure(httplib::Response& response)
{
    const auto verdict = base::may_have_run(base::reason::internal);
    write_verdict(verdict, response);
}

void add_refusals(httplib::Server& server, std::size_t body_bytes_max)
{
    using httplib::Request;
    using httplib::Response;
    server.set_pre_routing_handler(
        [body_bytes_max](const Request& request, Response& response) {
            const auto refused = check_body_bounds(request, body_bytes_max);
            if (!refused)
                return httplib::Server::HandlerResponse::Unhandled;
            http::close_current_connection();
            write_problem(*refused, response);
            return httplib::Server::HandlerResponse::Handled;
        });
    server.set_error_handler(
        [](const Request&, Response& response) { describe_error(response); });
    server.set_exception_handler(
        [](const Request&, Response& response, const std::exception_ptr&) {
            describe_failure(response);
        });
    const auto wrong = [](const Request&, Response& response) {
        refuse_method(response);
    };
    server.Get(request_route, wrong);
    server.Put(request_route, wrong);
    server.Patch(request_route, wrong);
    server.Delete(request_route, wrong);
    server.Options(request_route, wrong);
}

} // namespace

void add_routes(httplib::Server& server,
                context& shared,
                std::size_t body_bytes_max)
{
    add_refusals(server, body_bytes_max);
    server.Post(request_route,
                [&shared](const httplib::Request& request,
                          httplib::Response& response) {
                    take_request(request, response, shared);
                });
    server.Post("/v1/tickets",
                [&shared](const httplib::Request& request,
                          httplib::Response& response) {
                    give_ticket(request, response, shared);
                });
}

} // namespace greengagedrum::callers
