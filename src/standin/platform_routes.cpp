// The HTTP handlers of the stand-in of the platform.
#include <standin/json_answers.hpp>
#include <standin/platform.hpp>

#include <algorithm>

namespace standin
{

namespace
{

using httplib::Request;
using httplib::Response;

constexpr std::uint64_t wait_ms_max = 60'000;

// The two parameters of a watch.
struct watch_request {
    std::uint64_t since = 0;
    std::chrono::milliseconds patience{};
};

std::optional<watch_request> watch_from(const Request& request)
{
    const auto since = count_param(request, "since");
    const auto wait = count_param(request, "wait_ms");
    if (!since || !wait)
        return std::nullopt;
    const std::chrono::milliseconds patience(std::min(*wait, wait_ms_max));
    return watch_request{*since, patience};
}

nlohmann::json document_json(const document_version& version)
{
    return {{"name", version.name},
            {"revision", version.revision},
            {"deleted", !version.body.has_value()},
            {"body", version.body.value_or(nlohmann::json())}};
}

} // namespace

void platform::add_reader_routes()
{
    this->server.routes().Get("/v1/documents",
                              [this](const Request& in, Response& out) {
                                  this->show_documents(in, out);
                              });
    this->server.routes().Get("/v1/instances",
                              [this](const Request& in, Response& out) {
                                  this->show_instances(in, out);
                              });
}

void platform::add_admin_routes()
{
    httplib::Server& routes = this->server.routes();
    const std::string one_document = "/admin/documents/(.+)";
    const std::string one_instance = "/admin/instances/([^/]+)";
    routes.Put(one_document, [this](const Request& in, Response& out) {
        this->take_document(in, out);
    });
    routes.Delete(one_document, [this](const Request& in, Response& out) {
        this->core.erase_document(in.matches[1].str());
        answer_json(out, nlohmann::json::object());
    });
    routes.Put(one_instance, [this](const Request& in, Response& out) {
        this->take_instance(in, out);
    });
    routes.Delete(one_instance, [this](const Request& in, Response& out) {
        if (!this->core.erase_instance(in.matches[1].str()))
            return answer_error(out, http_not_found, "no such instance");
        answer_json(out, nlohmann::json::object());
    });
    routes.Post("/faults", [this](const Request& in, Response& out) {
        this->take_fault(in, out);
    });
    routes.Get("/calls", [this](const Request&, Response& out) {
        const call_counts counts = this->core.calls();
        answer_json(out,
                    {{"calls", counts.taken}, {"refused", counts.refused}});
    });
}

bool platform::admit(const Request& request, Response& answer)
{
    if (!this->core.count_call()) {
        answer_error(answer, http_too_many, "too many calls");
        return false;
    }
    if (watch_from(request))
        return true;
    answer_error(answer, http_bad_request, "since or wait_ms");
    return false;
}

void platform::show_documents(const Request& request, Response& answer)
{
    if (!this->admit(request, answer))
        return;
    const watch_request watch = *watch_from(request);
    const auto found = this->core.documents(watch.since, watch.patience);
    if (!found)
        return this->server.abort_connection(request);
    nlohmann::json list = nlohmann::json::array();
    for (const document_version& version : found->documents)
        list.push_back(document_json(version));
    answer_json(answer,
                {{"revision", found->revision},
                 {"complete", watch.since == 0},
                 {"documents", std::move(list)}});
}

void platform::show_instances(const Request& request, Response& answer)
{
    if (!this->admit(request, answer))
        return;
    const watch_request watch = *watch_from(request);
    const auto found = this->core.instances(watch.since, watch.patience);
    if (!found)
        return this->server.abort_connection(request);
    nlohmann::json list = nlohmann::json::array();
    for (const listed_instance& instance : found->instances)
        list.push_back(instance_json(instance));
    answer_json(
        answer,
        {{"revision", found->revision}, {"instances", std::move(list)}});
}

void platform::take_document(const Request& request, Response& answer)
{
    auto body = parse_object(request.body);
    if (!body)
        return answer_error(answer, http_bad_request, "not a JSON object");
    this->core.put_document(request.matches[1].str(), std::move(*body));
    answer_json(answer, nlohmann::json::object());
}

void platform::take_instance(const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const auto instance =
        body ? instance_from(request.matches[1].str(), *body) : std::nullopt;
    if (!instance)
        return answer_error(answer, http_bad_request, "not an instance");
    this->core.put_instance(*instance);
    answer_json(answer, nlohmann::json::object());
}

void platform::take_fault(const Request& request, Response& answer)
{
    const auto body = parse_object(request.body);
    const auto fault = body ? platform_fault_from(*body) : std::nullopt;
    if (!fault)
        return answer_error(answer, http_bad_request, "fault");
    this->core.inject(*fault);
    answer_json(answer, nlohmann::json::object());
}

} // namespace standin
