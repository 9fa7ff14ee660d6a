#include <greengagedrum/base/digest.hpp>
#include <standin/json_answers.hpp>
#include <standin/service.hpp>
#include <standin/token_text.hpp>

#include <utility>

namespace standin
{

namespace
{

greengagedrum::http::server_settings
server_settings_of(const service_settings& settings)
{
    greengagedrum::http::server_settings chosen;
    chosen.threads_max = settings.threads_max;
    return chosen;
}

// The tag of the first text member of the body that begins with one.
std::string tag_of_body(const std::string& body)
{
    const auto json = parse_object(body);
    if (!json)
        return {};
    for (const auto& [name, value] : json->items()) {
        if (!value.is_string())
            continue;
        std::string tag(tag_of(value.get_ref<const std::string&>()));
        if (!tag.empty())
            return tag;
    }
    return {};
}

} // namespace

service::service(const service_settings& given)
    : settings(given), server(server_settings_of(given))
{
    using httplib::Request;
    using httplib::Response;
    httplib::Server& routes = this->server.routes();
    routes.Get("/ledger", [this](const Request&, Response& out) {
        answer_json(out, ledger_json(this->ledger()));
    });
    routes.Post("/faults", [this](const Request& in, Response& out) {
        this->take_fault(in, out);
    });
    routes.Post("/.*", [this](const Request& in, Response& out) {
        this->call(in, out);
    });
}

service::~service()
{
    this->kill();
}

bool service::start(std::string_view address)
{
    return this->server.start(address);
}

void service::kill()
{
    this->die();
    this->server.kill();
}

// All under the mutex: whoever sees a broken connection finds alive() false,
// and no waiting call gets a last answer out.
void service::die()
{
    const std::lock_guard lock(this->mutex);
    this->ended = true;
    this->server.abort_connections();
    this->server.stop_accepting();
    this->changed.notify_all();
}

bool service::alive()
{
    const std::lock_guard lock(this->mutex);
    return !this->ended;
}

void service::inject(const service_fault& given)
{
    const std::lock_guard lock(this->mutex);
    this->fault = given;
}

std::vector<ledger_run> service::ledger()
{
    const std::lock_guard lock(this->mutex);
    return this->runs;
}

void service::call(const httplib::Request& request, httplib::Response& answer)
{
    service_fault met;
    {
        const std::lock_guard lock(this->mutex);
        met = this->fault;
        if (std::holds_alternative<lose_reply>(met))
            this->fault = service_mend{};
    }
    if (std::holds_alternative<refuse_calls>(met))
        return answer_error(answer, http_unavailable, "refused");
    if (std::holds_alternative<die_before_run>(met))
        return this->die();
    if (!this->pass_latency())
        return;
    this->record(request);
    if (std::holds_alternative<die_after_run>(met))
        return this->die();
    if (std::holds_alternative<lose_reply>(met))
        return this->server.abort_connection(request);
    answer_json(
        answer,
        {{"stream", request.get_header_value("X-Stream-Id")},
         {"digest", greengagedrum::base::to_hex(prompt_digest(request.body))}});
}

// False when the service ended meanwhile: the call has not run.
bool service::pass_latency()
{
    std::unique_lock lock(this->mutex);
    const auto* slow = std::get_if<service_slow_down>(&this->fault);
    const std::chrono::duration<double, std::milli> latency =
        this->settings.latency * (slow ? slow->factor : 1.0);
    this->changed.wait_for(lock, latency, [this] { return this->ended; });
    return !this->ended;
}

void service::record(const httplib::Request& request)
{
    ledger_run run;
    run.stream = request.get_header_value("X-Stream-Id");
    run.prompt_digest =
        greengagedrum::base::to_hex(prompt_digest(request.body));
    run.tag = tag_of_body(request.body);
    run.state = run_state::done;
    const std::lock_guard lock(this->mutex);
    this->runs.push_back(std::move(run));
}

void service::take_fault(const httplib::Request& request,
                         httplib::Response& answer)
{
    const auto body = parse_object(request.body);
    const auto given = body ? service_fault_from(*body) : std::nullopt;
    if (!given)
        return answer_error(answer, http_bad_request, "fault");
    this->inject(*given);
    answer_json(answer, nlohmann::json::object());
}

} // namespace standin
